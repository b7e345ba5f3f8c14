import type { Capacity, GuaranteeUnit, Shape } from '@apricothoist/scheduler';
import { candidatePlacements, GuaranteeFeasibility } from '@apricothoist/scheduler';

/** A way to decide whether guarantees can be met together. */
export interface WitnessWay {
  readonly name: string;
  /**
   * @param whole all accelerators, before any is taken
   * @param free what can be counted on now
   */
  readonly decide: (whole: Capacity, free: Capacity, units: readonly GuaranteeUnit[]) => boolean;
}

/** The product's way: greedy placement, repaired, then a bounded search. */
const searchWay: WitnessWay = {
  name: 'bounded search',
  decide: (_, free, units) => new GuaranteeFeasibility().solve(free, units).unplaced.length === 0,
};

/** Greedy placement alone, largest first. */
const greedyWay: WitnessWay = {
  name: 'greedy',
  decide: (_, free, units) =>
    placeInTurn(
      free.clone(),
      units.map((unit) => unit.shape),
    ),
};

/**
 * Hierarchical cells: accelerators, workers and racks are split into halves, and every shape is
 * rounded up to cells of a power of two.
 */
const cellWay: WitnessWay = {
  name: 'hierarchical cells',
  decide: (_, free, units) =>
    placeInTurn(
      free.clone(),
      units.map((unit) => toCells(unit.shape)),
    ),
};

/** Reservation: every unit has fixed places, chosen once from all accelerators. */
const reservationWay: WitnessWay = {
  name: 'reservation',
  decide: (whole, free, units) => {
    const { placements, unplaced } = new GuaranteeFeasibility().solve(whole, units);
    const remaining = free.clone();
    return (
      unplaced.length === 0 &&
      units.every((unit) =>
        (placements.get(unit.id) ?? []).every((share) => {
          remaining.adjust(share.worker, -share.tasks * unit.shape.acceleratorsPerWorker);
          return (remaining.free[share.worker] ?? -1) >= 0;
        }),
      )
    );
  },
};

export const witnessWays = [searchWay, greedyWay, cellWay, reservationWay];

function toCells(shape: Shape): Shape {
  return {
    ...shape,
    workers: roundUp(shape.workers),
    acceleratorsPerWorker: roundUp(shape.acceleratorsPerWorker),
  };
}

function roundUp(value: number): number {
  return 2 ** Math.ceil(Math.log2(value));
}

function placeInTurn(free: Capacity, shapes: readonly Shape[]): boolean {
  const size = (shape: Shape): number => shape.workers * shape.acceleratorsPerWorker;
  return [...shapes]
    .sort((left, right) => size(right) - size(left))
    .every((shape) => {
      const [place] = candidatePlacements(free, shape, 1);
      if (place !== undefined) {
        free.allocate(place, shape.acceleratorsPerWorker);
      }
      return place !== undefined;
    });
}
