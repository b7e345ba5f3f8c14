import type { Capacity, GuaranteeUnit, Shape } from '@apricothoist/scheduler';
import { candidatePlacements, GuaranteeFeasibility } from '@apricothoist/scheduler';

/** A strategy for deciding whether a set of guarantees can be met at the same time. */
export interface FeasibilityStrategy {
  readonly name: string;
  /**
   * @param total capacity of all workers without any allocation
   * @param free capacity that is available to guarantees now
   */
  readonly isFeasible: (
    total: Capacity,
    free: Capacity,
    units: readonly GuaranteeUnit[],
  ) => boolean;
}

/** The production strategy: greedy placement with repair, then a bounded search. */
const boundedSearchStrategy: FeasibilityStrategy = {
  name: 'bounded search',
  isFeasible: (_, free, units) =>
    new GuaranteeFeasibility().solve(free, units).unplaced.length === 0,
};

/** Greedy placement only, largest shape first. */
const greedyStrategy: FeasibilityStrategy = {
  name: 'greedy',
  isFeasible: (_, free, units) =>
    placeLargestFirst(
      free.clone(),
      units.map((unit) => unit.shape),
    ),
};

/**
 * Hierarchical cells: accelerators, workers and racks are split by halves, and each shape is rounded
 * up to cells whose sizes are powers of two.
 */
const hierarchicalCellStrategy: FeasibilityStrategy = {
  name: 'hierarchical cells',
  isFeasible: (_, free, units) =>
    placeLargestFirst(
      free.clone(),
      units.map((unit) => roundUpToCells(unit.shape)),
    ),
};

/** Static reservation: each unit has a fixed placement, chosen once from the total capacity. */
const reservationStrategy: FeasibilityStrategy = {
  name: 'reservation',
  isFeasible: (total, free, units) => {
    const { placements, unplaced } = new GuaranteeFeasibility().solve(total, units);
    const remainingCapacity = free.clone();
    return (
      unplaced.length === 0 &&
      units.every((unit) =>
        (placements.get(unit.id) ?? []).every((share) => {
          remainingCapacity.adjust(share.worker, -share.tasks * unit.shape.acceleratorsPerWorker);
          return (remainingCapacity.free[share.worker] ?? -1) >= 0;
        }),
      )
    );
  },
};

export const feasibilityStrategies = [
  boundedSearchStrategy,
  greedyStrategy,
  hierarchicalCellStrategy,
  reservationStrategy,
];

function roundUpToCells(shape: Shape): Shape {
  return {
    ...shape,
    workers: roundUpToPowerOfTwo(shape.workers),
    acceleratorsPerWorker: roundUpToPowerOfTwo(shape.acceleratorsPerWorker),
  };
}

function roundUpToPowerOfTwo(value: number): number {
  return 2 ** Math.ceil(Math.log2(value));
}

function placeLargestFirst(free: Capacity, shapes: readonly Shape[]): boolean {
  const acceleratorCount = (shape: Shape): number => shape.workers * shape.acceleratorsPerWorker;
  return [...shapes]
    .sort((left, right) => acceleratorCount(right) - acceleratorCount(left))
    .every((shape) => {
      const [placement] = candidatePlacements(free, shape, 1);
      if (placement !== undefined) {
        free.allocate(placement, shape.acceleratorsPerWorker);
      }
      return placement !== undefined;
    });
}
