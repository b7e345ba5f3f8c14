import { Urgency } from '@apricothoist/config';

import { expectedMs } from './Estimator.js';
import type { EstimateRecord, Job } from './Plan.js';
import { acceleratorsOf } from './Plan.js';

/** Scheduling priority class of a queued job; lower values are scheduled first. */
export const Rank = { urgent: 0, deadline: 1, guaranteed: 2, aged: 3, ordinary: 4 } as const;
export type Rank = (typeof Rank)[keyof typeof Rank];

/** Time in the queue in milliseconds after which a job takes precedence over shorter ones. */
export const agedAfterMs: Record<Urgency, number> = {
  urgent: 0,
  normal: 30 * 60_000,
  batch: 4 * 60 * 60_000,
};

/** Slack in milliseconds below which a job with a finish time is ranked by its deadline. */
const deadlineMarginMs = 20 * 60_000;

/** A queued job with its sort keys. */
export interface QueueEntry {
  readonly job: Job;
  readonly rank: Rank;
  /** Estimated remaining work in accelerator-milliseconds. */
  readonly remaining: number;
}

/** Estimated remaining run time of the job in milliseconds. */
export function remainingMs(job: Job, estimates: ReadonlyMap<string, EstimateRecord>): number {
  return Math.max(0, expectedMs(job, estimates) - job.checkpointMs);
}

export function toQueueEntry(
  job: Job,
  isGuaranteed: boolean,
  estimates: ReadonlyMap<string, EstimateRecord>,
  now: number,
): QueueEntry {
  const estimatedMs = remainingMs(job, estimates);
  return {
    job,
    rank: rankOf(job, isGuaranteed, estimatedMs, now),
    remaining: estimatedMs * acceleratorsOf(job.shape),
  };
}

/** Orders by rank, then by least remaining work. Aged jobs are ordered by time in the queue instead. */
export function compareEntries(left: QueueEntry, right: QueueEntry): number {
  if (left.rank !== right.rank) {
    return left.rank - right.rank;
  }
  const byWait = left.job.queuedAt - right.job.queuedAt;
  const byWork = left.remaining - right.remaining;
  const primary = left.rank === Rank.aged ? byWait : byWork;
  return primary || byWait || (left.job.id < right.job.id ? -1 : 1);
}

function rankOf(job: Job, isGuaranteed: boolean, estimatedMs: number, now: number): Rank {
  if (job.urgency === Urgency.urgent) {
    return Rank.urgent;
  }
  if (job.finishBy !== undefined && job.finishBy - now < estimatedMs + deadlineMarginMs) {
    return Rank.deadline;
  }
  if (isGuaranteed) {
    return Rank.guaranteed;
  }
  return now - job.queuedAt >= agedAfterMs[job.urgency] ? Rank.aged : Rank.ordinary;
}
