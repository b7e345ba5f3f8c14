import { Adjacency } from '@apricothoist/config';

import type { Capacity, WorkerShare } from './Capacity.js';
import { fillInOrder } from './fillInOrder.js';
import type { Shape } from './Plan.js';
import { acceleratorsOf } from './Plan.js';

/** One unit of a guarantee: a gang that the account is entitled to start at any time. */
export interface GuaranteeUnit {
  /** Guarantee name and index of the unit, as `name#index`. */
  readonly id: string;
  readonly guarantee: string;
  readonly account: string;
  readonly shape: Shape;
}

/** An assignment of guarantee units to workers that can hold them simultaneously. */
export interface GuaranteeAssignment {
  readonly placements: ReadonlyMap<string, readonly WorkerShare[]>;
  /** Units for which no workers were found. */
  readonly unplaced: readonly GuaranteeUnit[];
}

/** Upper bound on the candidate placements that the backtracking search tries. */
const maxSearchNodes = 400;

/**
 * Checks whether all unused guarantee units can be placed simultaneously. A positive result
 * includes a feasible assignment as proof. A negative result can be wrong in rare cases, because the
 * search is bounded. The previous assignment is reused where it still fits, so that the cost depends
 * on what has changed.
 */
export class GuaranteeFeasibility {
  private previous: ReadonlyMap<string, readonly WorkerShare[]> = new Map();

  /** @param available accelerators that are free or held by borrowers; not modified */
  public solve(available: Capacity, units: readonly GuaranteeUnit[]): GuaranteeAssignment {
    const repaired = this.repair(available, units);
    if (repaired.unplaced.length === 0) {
      this.previous = repaired.placements;
      return repaired;
    }
    const fresh = placeGreedily(available.clone(), units, new Map());
    const best = fresh.unplaced.length < repaired.unplaced.length ? fresh : repaired;
    const result =
      best.unplaced.length === 0 ? best : (searchWithBacktracking(available, units) ?? best);
    this.previous = result.placements;
    return result;
  }

  /** Like `solve`, but does not store the assignment for reuse. */
  public canPlaceAll(available: Capacity, units: readonly GuaranteeUnit[]): boolean {
    const stored = this.previous;
    const assignment = this.solve(available, units);
    this.previous = stored;
    return assignment.unplaced.length === 0;
  }

  private repair(available: Capacity, units: readonly GuaranteeUnit[]): GuaranteeAssignment {
    const remaining = available.clone();
    const reused = new Map<string, readonly WorkerShare[]>();
    units.forEach((unit) => {
      const shares = this.previous.get(unit.id);
      if (shares === undefined || !canStillHold(remaining, shares, unit.shape)) {
        return;
      }
      remaining.allocate(shares, unit.shape.acceleratorsPerWorker);
      reused.set(unit.id, shares);
    });
    return placeGreedily(remaining, units, reused);
  }
}

function canStillHold(capacity: Capacity, shares: readonly WorkerShare[], shape: Shape): boolean {
  return shares.every(
    (share) =>
      share.worker < capacity.workers.length &&
      capacity.freeOf(share.worker) >= share.tasks * shape.acceleratorsPerWorker,
  );
}

function placeGreedily(
  remaining: Capacity,
  units: readonly GuaranteeUnit[],
  reused: ReadonlyMap<string, readonly WorkerShare[]>,
): GuaranteeAssignment {
  const assigned = new Map(reused);
  const unplaced: GuaranteeUnit[] = [];
  largestFirst(units.filter((unit) => !reused.has(unit.id))).forEach((unit) => {
    const shares = candidatePlacements(remaining, unit.shape, 1)[0];
    if (shares === undefined) {
      unplaced.push(unit);
      return;
    }
    remaining.allocate(shares, unit.shape.acceleratorsPerWorker);
    assigned.set(unit.id, shares);
  });
  return { placements: assigned, unplaced };
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

// Backtracking search over the candidate placements of each unit, largest units first. Returns
// undefined if it finds no complete assignment within `maxSearchNodes`.
function searchWithBacktracking(
  available: Capacity,
  units: readonly GuaranteeUnit[],
): GuaranteeAssignment | undefined {
  const ordered = largestFirst(units);
  const remaining = available.clone();
  const assigned = new Map<string, readonly WorkerShare[]>();
  let nodes = 0;
  function place(depth: number): boolean {
    const unit = ordered[depth];
    if (unit === undefined) {
      return true;
    }
    for (const candidate of candidatePlacements(remaining, unit.shape, remaining.racks.length)) {
      nodes += 1;
      if (nodes > maxSearchNodes) {
        return false;
      }
      remaining.allocate(candidate, unit.shape.acceleratorsPerWorker);
      assigned.set(unit.id, candidate);
      if (place(depth + 1)) {
        return true;
      }
      assigned.delete(unit.id);
      remaining.release(candidate, unit.shape.acceleratorsPerWorker);
    }
    return false;
  }
  return place(0) ? { placements: assigned, unplaced: [] } : undefined;
}

/**
 * Candidate placements for one gang, racks with the least sufficient capacity first. A gang without
 * an adjacency constraint may also span racks.
 *
 * @param limit maximum number of candidates
 */
export function candidatePlacements(
  capacity: Capacity,
  shape: Shape,
  limit: number,
): WorkerShare[][] {
  const suitable = capacity.racks
    .map((workers, rack) => ({
      rack,
      tasks: capacity.taskCapacity(workers, shape.acceleratorsPerWorker),
    }))
    .filter((entry) => entry.tasks >= shape.workers)
    .sort((left, right) => left.tasks - right.tasks || left.rack - right.rack)
    .slice(0, limit);
  const candidates = suitable.map((entry) =>
    fillBestFit(capacity, capacity.racks[entry.rack] ?? [], shape),
  );
  if (shape.adjacency === Adjacency.rack || candidates.length >= limit) {
    return candidates;
  }
  const all = capacity.workers.map((_, index) => index);
  const tasks = capacity.taskCapacity(all, shape.acceleratorsPerWorker);
  return tasks >= shape.workers ? [...candidates, fillBestFit(capacity, all, shape)] : candidates;
}

/** Best-fit packing: prefers workers that the tasks of a gang fill with the smallest remainder. */
export function fillBestFit(
  capacity: Capacity,
  workers: readonly number[],
  shape: Shape,
): WorkerShare[] {
  const acceleratorsPerTask = shape.acceleratorsPerWorker;
  const suitable = workers
    .filter((worker) => capacity.freeOf(worker) >= acceleratorsPerTask)
    .sort(
      (left, right) =>
        (capacity.freeOf(left) % acceleratorsPerTask) -
          (capacity.freeOf(right) % acceleratorsPerTask) ||
        capacity.freeOf(left) - capacity.freeOf(right) ||
        left - right,
    );
  return fillInOrder(capacity, suitable, shape);
}
