import { Adjacency } from '@apricothoist/config';

import type { Capacity, WorkerShare } from './Capacity.js';
import { fillInOrder } from './fillInOrder.js';
import type { Shape } from './Plan.js';
import { acceleratorsOf } from './Plan.js';

/** One unit of a guarantee: a gang that the account may ask for at any time. */
export interface GuaranteeUnit {
  /** Guarantee name and number of the unit. */
  readonly id: string;
  readonly guarantee: string;
  readonly account: string;
  readonly shape: Shape;
}

/** Where every unit could stand at the same time. */
export interface Witness {
  readonly places: ReadonlyMap<string, readonly WorkerShare[]>;
  /** Units for which no place was found. */
  readonly unplaced: readonly GuaranteeUnit[];
}

/** Bound on the placements that the exhaustive stage tries. */
const maxSearchNodes = 400;

/**
 * Finds a place for every unused guarantee at once. A positive answer carries its proof, the
 * places themselves. A negative answer may be wrong in rare cases, because the search is bounded.
 * Places found before are kept where they still fit, so the cost follows what has changed.
 */
export class GuaranteeWitness {
  private previous: ReadonlyMap<string, readonly WorkerShare[]> = new Map();

  /** @param available accelerators that are free or held by borrowers; not changed */
  public solve(available: Capacity, units: readonly GuaranteeUnit[]): Witness {
    const repaired = this.repair(available, units);
    if (repaired.unplaced.length === 0) {
      this.previous = repaired.places;
      return repaired;
    }
    const fresh = placeGreedily(available.clone(), units, new Map());
    const best = fresh.unplaced.length < repaired.unplaced.length ? fresh : repaired;
    const searched = best.unplaced.length === 0 ? best : (search(available, units) ?? best);
    this.previous = searched.places;
    return searched;
  }

  /** Like `solve`, for a trial: the places found are not remembered. */
  public canPlaceAll(available: Capacity, units: readonly GuaranteeUnit[]): boolean {
    const remembered = this.previous;
    const witness = this.solve(available, units);
    this.previous = remembered;
    return witness.unplaced.length === 0;
  }

  private repair(available: Capacity, units: readonly GuaranteeUnit[]): Witness {
    const remaining = available.clone();
    const kept = new Map<string, readonly WorkerShare[]>();
    units.forEach((unit) => {
      const places = this.previous.get(unit.id);
      if (places === undefined || !holds(remaining, places, unit.shape)) {
        return;
      }
      remaining.take(places, unit.shape.acceleratorsPerWorker);
      kept.set(unit.id, places);
    });
    return placeGreedily(remaining, units, kept);
  }
}

function holds(capacity: Capacity, places: readonly WorkerShare[], shape: Shape): boolean {
  return places.every(
    (place) =>
      place.worker < capacity.workers.length &&
      capacity.freeOf(place.worker) >= place.tasks * shape.acceleratorsPerWorker,
  );
}

function placeGreedily(
  remaining: Capacity,
  units: readonly GuaranteeUnit[],
  kept: ReadonlyMap<string, readonly WorkerShare[]>,
): Witness {
  const places = new Map(kept);
  const unplaced: GuaranteeUnit[] = [];
  largestFirst(units.filter((unit) => !kept.has(unit.id))).forEach((unit) => {
    const found = candidatePlaces(remaining, unit.shape, 1)[0];
    if (found === undefined) {
      unplaced.push(unit);
      return;
    }
    remaining.take(found, unit.shape.acceleratorsPerWorker);
    places.set(unit.id, found);
  });
  return { places, unplaced };
}

function largestFirst(units: readonly GuaranteeUnit[]): GuaranteeUnit[] {
  return [...units].sort(
    (left, right) =>
      adjacencyRank(left.shape) - adjacencyRank(right.shape) ||
      right.shape.acceleratorsPerWorker - left.shape.acceleratorsPerWorker ||
      acceleratorsOf(right.shape) - acceleratorsOf(left.shape) ||
      (left.id < right.id ? -1 : 1),
  );
}

function adjacencyRank(shape: Shape): number {
  return shape.adjacency === Adjacency.rack ? 0 : 1;
}

// Depth-first over the racks of each unit, largest units first.
function search(available: Capacity, units: readonly GuaranteeUnit[]): Witness | undefined {
  const ordered = largestFirst(units);
  const remaining = available.clone();
  const places = new Map<string, readonly WorkerShare[]>();
  let nodes = 0;
  function place(depth: number): boolean {
    const unit = ordered[depth];
    if (unit === undefined) {
      return true;
    }
    for (const candidate of candidatePlaces(remaining, unit.shape, remaining.racks.length)) {
      nodes += 1;
      if (nodes > maxSearchNodes) {
        return false;
      }
      remaining.take(candidate, unit.shape.acceleratorsPerWorker);
      places.set(unit.id, candidate);
      if (place(depth + 1)) {
        return true;
      }
      places.delete(unit.id);
      remaining.give(candidate, unit.shape.acceleratorsPerWorker);
    }
    return false;
  }
  return place(0) ? { places, unplaced: [] } : undefined;
}

/** Places for one gang, tightest rack first; a gang without adjacency may span racks. */
export function candidatePlaces(capacity: Capacity, shape: Shape, most: number): WorkerShare[][] {
  const rooms = capacity.racks
    .map((workers, rack) => ({
      rack,
      room: capacity.taskRoom(workers, shape.acceleratorsPerWorker),
    }))
    .filter((entry) => entry.room >= shape.workers)
    .sort((left, right) => left.room - right.room || left.rack - right.rack)
    .slice(0, most);
  const places = rooms.map((entry) =>
    fillTightest(capacity, capacity.racks[entry.rack] ?? [], shape),
  );
  if (shape.adjacency === Adjacency.rack || places.length >= most) {
    return places;
  }
  const all = capacity.workers.map((_, index) => index);
  const room = capacity.taskRoom(all, shape.acceleratorsPerWorker);
  return room >= shape.workers ? [...places, fillTightest(capacity, all, shape)] : places;
}

/** Puts the tasks of a gang on the workers that they fill best. */
export function fillTightest(
  capacity: Capacity,
  workers: readonly number[],
  shape: Shape,
): WorkerShare[] {
  const per = shape.acceleratorsPerWorker;
  const suitable = workers
    .filter((worker) => capacity.freeOf(worker) >= per)
    .sort(
      (left, right) =>
        (capacity.freeOf(left) % per) - (capacity.freeOf(right) % per) ||
        capacity.freeOf(left) - capacity.freeOf(right) ||
        left - right,
    );
  return fillInOrder(capacity, suitable, shape);
}
