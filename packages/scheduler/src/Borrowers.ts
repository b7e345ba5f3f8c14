import { Urgency } from '@apricothoist/config';

import { AttemptState } from './charts.js';
import type { Attempt, Job } from './Plan.js';
import { acceleratorsOf } from './Plan.js';
import type { PlanDraft } from './PlanDraft.js';
import type { QueueEntry } from './QueueOrder.js';
import { Rank, remainingMs } from './QueueOrder.js';

/** Run time in milliseconds before a borrower may be stopped for a job of no higher class. */
const minQuantumMs = 10 * 60_000;
/** Run time in milliseconds before a borrower may be moved to another worker. */
const moveQuantumMs = 3 * 60_000;
/** How many times more work a borrower must have left than the job it is stopped for. */
const minRemainingRatio = 4;

/** An attempt without a guarantee, and its job. */
export interface Borrower {
  readonly attempt: Attempt;
  readonly job: Job;
}

type Rule = (borrower: Borrower, entry: QueueEntry) => boolean;

/** Tells which attempts may be stopped for others. */
export class Borrowers {
  /** Which borrowers may be stopped for a job that has no guarantee, by the job's rank. */
  private readonly rules: Record<Rank, Rule> = {
    [Rank.urgent]: ({ attempt }) => attempt.urgency !== Urgency.urgent,
    [Rank.pressing]: ({ attempt, job }) =>
      attempt.urgency !== Urgency.urgent && job.finishBy === undefined,
    [Rank.guaranteed]: () => false,
    [Rank.aged]: ({ attempt }) => attempt.urgency !== Urgency.urgent && this.hasHadQuantum(attempt),
    [Rank.ordinary]: (borrower, entry) =>
      borrower.attempt.urgency !== Urgency.urgent &&
      this.hasHadQuantum(borrower.attempt) &&
      this.remainingWork(borrower) >= entry.remaining * minRemainingRatio,
  };

  /** @param now wall milliseconds */
  public constructor(
    private readonly draft: PlanDraft,
    private readonly now: number,
  ) {}

  /** Borrowers that have not been told to stop. */
  public get all(): Borrower[] {
    return this.draft.attempts.flatMap((attempt) => {
      const isStoppable =
        attempt.guarantee === undefined &&
        (attempt.state === AttemptState.running || attempt.state === AttemptState.placing);
      const job = isStoppable ? this.draft.job(attempt.jobId) : undefined;
      return job === undefined ? [] : [{ attempt, job }];
    });
  }

  /** Borrowers that run. */
  public get running(): Borrower[] {
    return this.all.filter(({ attempt }) => attempt.state === AttemptState.running);
  }

  /** Borrowers that have run long enough to be moved. */
  public get movable(): Borrower[] {
    return this.running.filter(({ attempt }) => this.hasRunFor(attempt, moveQuantumMs));
  }

  /** Attempts that may be stopped for a guaranteed gang. */
  public get reclaimable(): Attempt[] {
    return this.all.map(({ attempt }) => attempt);
  }

  /** Attempts that may be stopped for a job without a guarantee. */
  public stoppableFor(entry: QueueEntry): Attempt[] {
    const rule = this.rules[entry.rank];
    return this.all.filter((borrower) => rule(borrower, entry)).map(({ attempt }) => attempt);
  }

  private hasHadQuantum(attempt: Attempt): boolean {
    return this.hasRunFor(attempt, minQuantumMs);
  }

  private hasRunFor(attempt: Attempt, milliseconds: number): boolean {
    return attempt.startedAt !== undefined && this.now - attempt.startedAt >= milliseconds;
  }

  private remainingWork({ attempt, job }: Borrower): number {
    const present = { ...job, checkpointMs: attempt.progressMs };
    return remainingMs(present, this.draft.estimates) * acceleratorsOf(job.shape);
  }
}
