import type { Borrower } from './Borrowers.js';
import type { Capacity, WorkerShare } from './Capacity.js';
import type { PlacementSearch } from './PlacementSearch.js';
import type { Attempt, Job } from './Plan.js';
import { acceleratorsOf } from './Plan.js';
import { releaseTasks, restartCostMs } from './ReclaimSearch.js';

/** A borrower to move, and the capacity gained by moving it. */
export interface Move {
  readonly attempt: Attempt;
  /** Additional accelerators that gangs of the relevant shapes could use. */
  readonly gain: number;
}

/** Borrowers that one search evaluates, smallest first. */
const maxCandidates = 24;
/** Time in milliseconds for which the gain of a move is expected to last. */
const benefitHorizonMs = 60_000;

/**
 * Finds the borrower whose move to another worker reduces fragmentation the most. The move itself
 * is a checkpoint followed by a new placement.
 */
export class Consolidation {
  /**
   * @param search placement search with the relevant shapes
   * @param completionWeight weight of completion time against fragmentation, 0 to 1
   */
  public constructor(
    private readonly search: PlacementSearch,
    private readonly completionWeight: number,
  ) {}

  /** The move with the largest gain among those that outweigh the restart cost, if any. */
  public find(free: Capacity, candidates: readonly Borrower[]): Move | undefined {
    let best: Move | undefined;
    candidates
      .filter(({ attempt }) => isOnOneWorker(attempt))
      .sort((left, right) => acceleratorsOf(left.job.shape) - acceleratorsOf(right.job.shape))
      .slice(0, maxCandidates)
      .forEach(({ attempt, job }) => {
        const gain = this.gainOf(free, attempt, job);
        if (this.isWorthwhile(gain, job) && gain > (best?.gain ?? 0)) {
          best = { attempt, gain };
        }
      });
    return best;
  }

  // Compares the accelerator time that becomes usable with the accelerator time that the restart
  // costs, weighted by `completionWeight`.
  private isWorthwhile(gain: number, job: Job): boolean {
    const usableTime = gain * benefitHorizonMs;
    const restartTime = acceleratorsOf(job.shape) * restartCostMs;
    return usableTime * (1 - this.completionWeight) > restartTime * this.completionWeight;
  }

  private gainOf(free: Capacity, attempt: Attempt, job: Job): number {
    const trial = free.clone();
    releaseTasks(trial, attempt);
    const [placement] = this.search.find(trial, job.shape);
    if (placement === undefined || isSamePlacement(trial, placement.shares, attempt)) {
      return 0;
    }
    // Usable capacity with the current placement, compared with that after the move.
    const before = this.search.usableCapacityOf(free);
    trial.allocate(placement.shares, job.shape.acceleratorsPerWorker);
    return this.search.usableCapacityOf(trial) - before;
  }
}

function isOnOneWorker(attempt: Attempt): boolean {
  return attempt.tasks.every((task) => task.workerId === attempt.tasks[0]?.workerId);
}

function isSamePlacement(
  capacity: Capacity,
  shares: readonly WorkerShare[],
  attempt: Attempt,
): boolean {
  const [first] = attempt.tasks;
  return shares.every((share) => capacity.workers[share.worker]?.id === first?.workerId);
}
