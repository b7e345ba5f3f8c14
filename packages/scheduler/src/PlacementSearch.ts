import { Adjacency } from '@apricothoist/config';

import type { Capacity, WorkerShare } from './Capacity.js';
import { fillInOrder } from './fillInOrder.js';
import type { Shape } from './Plan.js';
import { acceleratorsOf } from './Plan.js';

/** A possible placement and what it costs; the lowest cost is best. */
export interface Placement {
  readonly shares: readonly WorkerShare[];
  /** Accelerators of useful shapes that the placement breaks up. */
  readonly destroyed: number;
  /** Accelerators left over in partly used workers. */
  readonly leftover: number;
}

/** Placements that one search compares at most. */
const maxCandidates = 12;

/**
 * Finds places for a gang on free accelerators and scores them by the shapes that they would
 * leave impossible.
 */
export class PlacementSearch {
  /** @param shapes gangs that may have to be placed later: guaranteed and queued ones */
  public constructor(private readonly shapes: readonly Shape[]) {}

  /** Possible placements, best first. */
  public find(
    capacity: Capacity,
    shape: Shape,
    avoided: ReadonlySet<number> = new Set(),
  ): Placement[] {
    const per = shape.acceleratorsPerWorker;
    const usable = (worker: number): boolean =>
      !avoided.has(worker) && capacity.freeOf(worker) >= per;
    const racks = capacity.racks.map((workers) => workers.filter(usable));
    const placements = racks
      .map((workers, rack) => ({ rack, workers, room: capacity.taskRoom(workers, per) }))
      .filter((entry) => entry.room >= shape.workers)
      .sort((left, right) => left.room - right.room || left.rack - right.rack)
      .slice(0, maxCandidates)
      .map((entry) => this.score(capacity, shape, this.fill(capacity, entry.workers, shape)));
    placements.sort(comparePlacements);
    if (placements.length > 0 || shape.adjacency === Adjacency.rack) {
      return placements;
    }
    const all = racks.flat();
    const room = capacity.taskRoom(all, per);
    return room < shape.workers
      ? []
      : [this.score(capacity, shape, this.fill(capacity, all, shape))];
  }

  // Fills the workers where a task breaks up the least of the useful shapes.
  private fill(capacity: Capacity, workers: readonly number[], shape: Shape): WorkerShare[] {
    const per = shape.acceleratorsPerWorker;
    const costs = new Map<number, number>();
    const costOf = (worker: number): number => {
      const free = capacity.freeOf(worker);
      const known = costs.get(free) ?? this.brokenUp(free, per);
      costs.set(free, known);
      return known;
    };
    const suitable = workers
      .filter((worker) => capacity.freeOf(worker) >= per)
      .sort(
        (left, right) =>
          costOf(left) - costOf(right) ||
          capacity.freeOf(left) - capacity.freeOf(right) ||
          left - right,
      );
    return fillInOrder(capacity, suitable, shape);
  }

  /** Accelerators of useful tasks that one worker can no longer hold when `taken` are used. */
  private brokenUp(free: number, taken: number): number {
    return this.shapes.reduce((sum, { acceleratorsPerWorker }) => {
      const before = Math.floor(free / acceleratorsPerWorker);
      const after = Math.floor((free - taken) / acceleratorsPerWorker);
      return sum + (before - after) * acceleratorsPerWorker;
    }, 0);
  }

  private score(capacity: Capacity, shape: Shape, shares: readonly WorkerShare[]): Placement {
    const racks = [...new Set(shares.map((share) => capacity.rackOf[share.worker] ?? 0))];
    const before = this.usefulRoom(capacity, racks);
    capacity.take(shares, shape.acceleratorsPerWorker);
    const after = this.usefulRoom(capacity, racks);
    const leftover = shares.reduce((sum, share) => sum + capacity.freeOf(share.worker), 0);
    capacity.give(shares, shape.acceleratorsPerWorker);
    return { shares, destroyed: before - after, leftover };
  }

  /** Accelerators of useful gangs that fit into all racks, each shape counted by itself. */
  public usefulRoomOf(capacity: Capacity): number {
    return this.usefulRoom(capacity, [...capacity.racks.keys()]);
  }

  private usefulRoom(capacity: Capacity, racks: readonly number[]): number {
    let room = 0;
    for (const shape of this.shapes) {
      for (const rack of racks) {
        room += capacity.gangRoom(rack, shape) * acceleratorsOf(shape);
      }
    }
    return room;
  }
}

function comparePlacements(left: Placement, right: Placement): number {
  return left.destroyed - right.destroyed || left.leftover - right.leftover;
}
