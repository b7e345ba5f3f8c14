import { Urgency } from '@apricothoist/config';

import { AttemptState } from './charts.js';
import type { Attempt, Job } from './Plan.js';
import { acceleratorsOf } from './Plan.js';
import type { PlanDraft } from './PlanDraft.js';
import type { QueueEntry } from './QueueOrder.js';
import { Rank, remainingMs } from './QueueOrder.js';

/** Minimum run time in milliseconds before a borrower may be preempted by an aged or ordinary job. */
const minQuantumMs = 10 * 60_000;
/** Minimum run time in milliseconds before a borrower may be moved to another worker. */
const moveQuantumMs = 3 * 60_000;
/** Minimum ratio of remaining work of a borrower to that of the ordinary job that preempts it. */
const minRemainingRatio = 4;

/** An attempt that uses no guarantee, and its job. */
export interface Borrower {
  readonly attempt: Attempt;
  readonly job: Job;
}

type PreemptionRule = (borrower: Borrower, entry: QueueEntry) => boolean;

/** Determines which attempts may be preempted. */
export class Borrowers {
  /** Which borrowers may be preempted for a job that has no guarantee, by the rank of the job. */
  private readonly rules: Record<Rank, PreemptionRule> = {
    [Rank.urgent]: ({ attempt }) => attempt.urgency !== Urgency.urgent,
    [Rank.deadline]: ({ attempt, job }) =>
      attempt.urgency !== Urgency.urgent && job.finishBy === undefined,
    [Rank.guaranteed]: () => false,
    [Rank.aged]: ({ attempt }) =>
      attempt.urgency !== Urgency.urgent && this.hasRunMinQuantum(attempt),
    [Rank.ordinary]: (borrower, entry) =>
      borrower.attempt.urgency !== Urgency.urgent &&
      this.hasRunMinQuantum(borrower.attempt) &&
      this.remainingWork(borrower) >= entry.remaining * minRemainingRatio,
  };

  /** @param now wall-clock time in milliseconds */
  public constructor(
    private readonly draft: PlanDraft,
    private readonly now: number,
  ) {}

  /** Borrowers that are not being stopped. */
  public get all(): Borrower[] {
    return this.draft.attempts.flatMap((attempt) => {
      const isStoppable =
        attempt.guarantee === undefined &&
        (attempt.state === AttemptState.running || attempt.state === AttemptState.placing);
      const job = isStoppable ? this.draft.job(attempt.jobId) : undefined;
      return job === undefined ? [] : [{ attempt, job }];
    });
  }

  /** Borrowers in state `running`. */
  public get running(): Borrower[] {
    return this.all.filter(({ attempt }) => attempt.state === AttemptState.running);
  }

  /** Running borrowers that have run for the minimum time before a move. */
  public get movable(): Borrower[] {
    return this.running.filter(({ attempt }) => this.hasRunFor(attempt, moveQuantumMs));
  }

  /** Attempts that may be preempted for a guaranteed gang. */
  public get reclaimable(): Attempt[] {
    return this.all.map(({ attempt }) => attempt);
  }

  /** Attempts that may be preempted for a job without a guarantee. */
  public preemptibleFor(entry: QueueEntry): Attempt[] {
    const rule = this.rules[entry.rank];
    return this.all.filter((borrower) => rule(borrower, entry)).map(({ attempt }) => attempt);
  }

  private hasRunMinQuantum(attempt: Attempt): boolean {
    return this.hasRunFor(attempt, minQuantumMs);
  }

  private hasRunFor(attempt: Attempt, durationMs: number): boolean {
    return attempt.startedAt !== undefined && this.now - attempt.startedAt >= durationMs;
  }

  private remainingWork({ attempt, job }: Borrower): number {
    const current = { ...job, checkpointMs: attempt.progressMs };
    return remainingMs(current, this.draft.estimates) * acceleratorsOf(job.shape);
  }
}
