import { Urgency } from '@apricothoist/config';

import { expectedMs } from './Estimator.js';
import type { EstimateRecord, Job } from './Plan.js';
import { acceleratorsOf } from './Plan.js';

/** How pressing a job is; a lower rank goes first. */
export const Rank = { urgent: 0, pressing: 1, guaranteed: 2, aged: 3, ordinary: 4 } as const;
export type Rank = (typeof Rank)[keyof typeof Rank];

/** Wait in milliseconds after which a job goes ahead of shorter ones. */
export const agedAfterMs: Record<Urgency, number> = {
  urgent: 0,
  normal: 30 * 60_000,
  batch: 4 * 60 * 60_000,
};

/** Time in milliseconds that a job with a finish time should have in hand. */
const finishMarginMs = 20 * 60_000;

/** A queued job with what decides its turn. */
export interface QueueEntry {
  readonly job: Job;
  readonly rank: Rank;
  /** Work that remains, in accelerator-milliseconds, as far as it can be known. */
  readonly remaining: number;
}

/** Work in milliseconds that the job is expected to need still. */
export function remainingMs(job: Job, estimates: ReadonlyMap<string, EstimateRecord>): number {
  return Math.max(0, expectedMs(job, estimates) - job.checkpointMs);
}

export function toQueueEntry(
  job: Job,
  isGuaranteed: boolean,
  estimates: ReadonlyMap<string, EstimateRecord>,
  now: number,
): QueueEntry {
  const leftMs = remainingMs(job, estimates);
  return {
    job,
    rank: rankOf(job, isGuaranteed, leftMs, now),
    remaining: leftMs * acceleratorsOf(job.shape),
  };
}

/** Orders by rank, then by the least remaining work; aged jobs by how long they have waited. */
export function compareEntries(left: QueueEntry, right: QueueEntry): number {
  if (left.rank !== right.rank) {
    return left.rank - right.rank;
  }
  const byWait = left.job.queuedAt - right.job.queuedAt;
  const byWork = left.remaining - right.remaining;
  const first = left.rank === Rank.aged ? byWait : byWork;
  return first || byWait || (left.job.id < right.job.id ? -1 : 1);
}

function rankOf(job: Job, isGuaranteed: boolean, leftMs: number, now: number): Rank {
  if (job.urgency === Urgency.urgent) {
    return Rank.urgent;
  }
  if (job.finishBy !== undefined && job.finishBy - now < leftMs + finishMarginMs) {
    return Rank.pressing;
  }
  if (isGuaranteed) {
    return Rank.guaranteed;
  }
  return now - job.queuedAt >= agedAfterMs[job.urgency] ? Rank.aged : Rank.ordinary;
}
