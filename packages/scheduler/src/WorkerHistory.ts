import type { WorkerRecord } from './Plan.js';

/** Distinct jobs that must fail on a worker without a success in between to quarantine it. */
const failedJobsUntilQuarantine = 3;
const firstQuarantineMs = 5 * 60_000;
const maxQuarantineMs = 4 * 60 * 60_000;

/**
 * The record after a task of `jobId` failed on the worker. The quarantine doubles each time, up to
 * `maxQuarantineMs`. Times are wall-clock milliseconds.
 */
export function recordFailure(worker: WorkerRecord, jobId: string, now: number): WorkerRecord {
  const failedJobs = [...new Set([...worker.failedJobs, jobId])];
  // After its first quarantine a worker is on probation: a single failure quarantines it again.
  const limit = worker.quarantines > 0 ? 1 : failedJobsUntilQuarantine;
  if (failedJobs.length < limit) {
    return { ...worker, failedJobs };
  }
  const quarantineMs = Math.min(maxQuarantineMs, firstQuarantineMs * 2 ** worker.quarantines);
  return {
    ...worker,
    failedJobs: [],
    quarantinedUntil: now + quarantineMs,
    quarantines: worker.quarantines + 1,
  };
}

/** The record after a task succeeded on the worker: failures and quarantine count are reset. */
export function recordSuccess(worker: WorkerRecord): WorkerRecord {
  return { ...worker, failedJobs: [], quarantines: 0 };
}

export function isQuarantined(worker: WorkerRecord, now: number): boolean {
  return now < worker.quarantinedUntil;
}
