import type { WorkerRecord } from './Plan.js';

/** Different jobs that must fail on a worker, with no success between, before it is quarantined. */
const failedJobsUntilQuarantine = 3;
const firstQuarantineMs = 5 * 60_000;
const maxQuarantineMs = 4 * 60 * 60_000;

/** The record after a task of `jobId` failed on the worker. Times are wall milliseconds. */
export function recordFailure(worker: WorkerRecord, jobId: string, now: number): WorkerRecord {
  const failedJobs = [...new Set([...worker.failedJobs, jobId])];
  // After its first quarantine a worker is on probation: one failure is enough.
  const limit = worker.quarantines > 0 ? 1 : failedJobsUntilQuarantine;
  if (failedJobs.length < limit) {
    return { ...worker, failedJobs };
  }
  const lengthMs = Math.min(maxQuarantineMs, firstQuarantineMs * 2 ** worker.quarantines);
  return {
    ...worker,
    failedJobs: [],
    quarantinedUntil: now + lengthMs,
    quarantines: worker.quarantines + 1,
  };
}

/** The record after a task succeeded on the worker: its failures are forgiven. */
export function recordSuccess(worker: WorkerRecord): WorkerRecord {
  return { ...worker, failedJobs: [], quarantines: 0 };
}

export function isQuarantined(worker: WorkerRecord, now: number): boolean {
  return now < worker.quarantinedUntil;
}
