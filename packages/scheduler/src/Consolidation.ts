import type { Borrower } from './Borrowers.js';
import type { Capacity, WorkerShare } from './Capacity.js';
import type { PlacementSearch } from './PlacementSearch.js';
import type { Attempt, Job } from './Plan.js';
import { acceleratorsOf } from './Plan.js';
import { release, restartCostMs } from './ReclaimSearch.js';

/** A borrower that could stand elsewhere, and what its move would make possible. */
export interface Move {
  readonly attempt: Attempt;
  /** Accelerators of useful shapes that would become possible. */
  readonly gain: number;
}

/** Borrowers that one search looks at. */
const maxMovables = 24;
/** Time in milliseconds for which a move is counted on to be of use. */
const minBenefitMs = 60_000;

/**
 * Looks for the borrower whose move to another worker would make the most useful shapes possible.
 * The move itself is a checkpoint and a new placement.
 */
export class Consolidation {
  /**
   * @param search knows the useful shapes
   * @param completionWeight weight of completion time against fragmentation, 0 to 1
   */
  public constructor(
    private readonly search: PlacementSearch,
    private readonly completionWeight: number,
  ) {}

  /** The best move that is worth its restart, if there is one. */
  public find(free: Capacity, movables: readonly Borrower[]): Move | undefined {
    let best: Move | undefined;
    movables
      .filter(({ attempt }) => isOnOneWorker(attempt))
      .sort((left, right) => acceleratorsOf(left.job.shape) - acceleratorsOf(right.job.shape))
      .slice(0, maxMovables)
      .forEach(({ attempt, job }) => {
        const gain = this.gainOf(free, attempt, job);
        if (this.isWorth(gain, job) && gain > (best?.gain ?? 0)) {
          best = { attempt, gain };
        }
      });
    return best;
  }

  // Weighs the accelerator time that becomes usable against that which the restart costs.
  private isWorth(gain: number, job: Job): boolean {
    const usableTime = gain * minBenefitMs;
    const restartTime = acceleratorsOf(job.shape) * restartCostMs;
    return usableTime * (1 - this.completionWeight) > restartTime * this.completionWeight;
  }

  private gainOf(free: Capacity, attempt: Attempt, job: Job): number {
    const trial = free.clone();
    release(trial, attempt);
    const [placement] = this.search.find(trial, job.shape);
    if (placement === undefined || isSamePlace(trial, placement.shares, attempt)) {
      return 0;
    }
    // What the present place breaks up, against what the new one would.
    const before = this.search.usefulRoomOf(free);
    trial.take(placement.shares, job.shape.acceleratorsPerWorker);
    return this.search.usefulRoomOf(trial) - before;
  }
}

function isOnOneWorker(attempt: Attempt): boolean {
  return attempt.tasks.every((task) => task.workerId === attempt.tasks[0]?.workerId);
}

function isSamePlace(
  capacity: Capacity,
  shares: readonly WorkerShare[],
  attempt: Attempt,
): boolean {
  const [first] = attempt.tasks;
  return shares.every((share) => capacity.workers[share.worker]?.id === first?.workerId);
}
