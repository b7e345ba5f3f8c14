import { Adjacency } from '@apricothoist/config';

import type { Capacity, WorkerShare } from './Capacity.js';
import { fillTightest } from './GuaranteeWitness.js';
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
      .map((entry) => this.score(capacity, shape, fillTightest(capacity, entry.workers, shape)));
    placements.sort(comparePlacements);
    if (placements.length > 0 || shape.adjacency === Adjacency.rack) {
      return placements;
    }
    const all = racks.flat();
    const room = capacity.taskRoom(all, per);
    return room < shape.workers
      ? []
      : [this.score(capacity, shape, fillTightest(capacity, all, shape))];
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
