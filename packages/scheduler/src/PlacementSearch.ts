import { Adjacency } from '@apricothoist/config';

import type { Capacity, WorkerShare } from './Capacity.js';
import { fillInOrder } from './fillInOrder.js';
import type { Shape } from './Plan.js';
import { acceleratorsOf } from './Plan.js';

/** A candidate placement and its cost; lower is better. */
export interface Placement {
  readonly shares: readonly WorkerShare[];
  /** Accelerators that gangs of the relevant shapes can no longer use after the placement. */
  readonly fragmentationCost: number;
  /** Accelerators that remain free on the workers of the placement. */
  readonly leftover: number;
}

/** Upper bound on the placements that one search compares. */
const maxCandidates = 12;

/**
 * Finds placements for a gang on free accelerators and scores them by how much capacity for other
 * relevant shapes they fragment.
 */
export class PlacementSearch {
  /** @param shapes relevant shapes: those of guaranteed and queued gangs to be placed later */
  public constructor(private readonly shapes: readonly Shape[]) {}

  /** Candidate placements, best first. */
  public find(
    capacity: Capacity,
    shape: Shape,
    avoided: ReadonlySet<number> = new Set(),
  ): Placement[] {
    const acceleratorsPerTask = shape.acceleratorsPerWorker;
    const usable = (worker: number): boolean =>
      !avoided.has(worker) && capacity.freeOf(worker) >= acceleratorsPerTask;
    const racks = capacity.racks.map((workers) => workers.filter(usable));
    const placements = racks
      .map((workers, rack) => ({
        rack,
        workers,
        tasks: capacity.taskCapacity(workers, acceleratorsPerTask),
      }))
      .filter((entry) => entry.tasks >= shape.workers)
      .sort((left, right) => left.tasks - right.tasks || left.rack - right.rack)
      .slice(0, maxCandidates)
      .map((entry) => this.score(capacity, shape, this.fill(capacity, entry.workers, shape)));
    placements.sort(comparePlacements);
    if (placements.length > 0 || shape.adjacency === Adjacency.rack) {
      return placements;
    }
    const all = racks.flat();
    const tasks = capacity.taskCapacity(all, acceleratorsPerTask);
    return tasks < shape.workers
      ? []
      : [this.score(capacity, shape, this.fill(capacity, all, shape))];
  }

  // Prefers the workers on which a task costs the least capacity for the relevant shapes.
  private fill(capacity: Capacity, workers: readonly number[], shape: Shape): WorkerShare[] {
    const acceleratorsPerTask = shape.acceleratorsPerWorker;
    const costs = new Map<number, number>();
    const costOf = (worker: number): number => {
      const free = capacity.freeOf(worker);
      const known = costs.get(free) ?? this.taskCapacityLost(free, acceleratorsPerTask);
      costs.set(free, known);
      return known;
    };
    const suitable = workers
      .filter((worker) => capacity.freeOf(worker) >= acceleratorsPerTask)
      .sort(
        (left, right) =>
          costOf(left) - costOf(right) ||
          capacity.freeOf(left) - capacity.freeOf(right) ||
          left - right,
      );
    return fillInOrder(capacity, suitable, shape);
  }

  /**
   * Accelerators that tasks of the relevant shapes can no longer use on a worker with `free`
   * accelerators when `taken` of them are allocated.
   */
  private taskCapacityLost(free: number, taken: number): number {
    return this.shapes.reduce((sum, { acceleratorsPerWorker }) => {
      const before = Math.floor(free / acceleratorsPerWorker);
      const after = Math.floor((free - taken) / acceleratorsPerWorker);
      return sum + (before - after) * acceleratorsPerWorker;
    }, 0);
  }

  private score(capacity: Capacity, shape: Shape, shares: readonly WorkerShare[]): Placement {
    const racks = [...new Set(shares.map((share) => capacity.rackOf[share.worker] ?? 0))];
    const before = this.usableCapacity(capacity, racks);
    capacity.allocate(shares, shape.acceleratorsPerWorker);
    const after = this.usableCapacity(capacity, racks);
    const leftover = shares.reduce((sum, share) => sum + capacity.freeOf(share.worker), 0);
    capacity.release(shares, shape.acceleratorsPerWorker);
    return { shares, fragmentationCost: before - after, leftover };
  }

  /** Accelerators usable by gangs of the relevant shapes in all racks, summed over the shapes. */
  public usableCapacityOf(capacity: Capacity): number {
    return this.usableCapacity(capacity, [...capacity.racks.keys()]);
  }

  private usableCapacity(capacity: Capacity, racks: readonly number[]): number {
    let usable = 0;
    for (const shape of this.shapes) {
      for (const rack of racks) {
        usable += capacity.gangCapacity(rack, shape) * acceleratorsOf(shape);
      }
    }
    return usable;
  }
}

function comparePlacements(left: Placement, right: Placement): number {
  return left.fragmentationCost - right.fragmentationCost || left.leftover - right.leftover;
}
