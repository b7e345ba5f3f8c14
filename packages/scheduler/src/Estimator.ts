import type { EstimateRecord, Job } from './Plan.js';

/** Minimum weight of the newest run in the moving average. */
const newestWeight = 0.25;
/** Largest correction in either direction, as a natural logarithm: a factor of 100. */
const logRatioLimit = Math.log(100);

/**
 * The kind of a job. The declared run times of jobs with the same account and name are expected to
 * have similar errors.
 */
export function kindOf(job: Job): string {
  return `${job.account}/${job.name}`;
}

/**
 * Expected total run time of a job in milliseconds: the declared time, corrected by earlier runs of
 * its kind. Once the checkpointed progress reaches that, the estimate is twice the progress.
 */
export function expectedMs(job: Job, estimates: ReadonlyMap<string, EstimateRecord>): number {
  const record = estimates.get(kindOf(job));
  const corrected = job.declaredMs * Math.exp(record?.meanLogRatio ?? 0);
  return Math.max(corrected, job.checkpointMs >= corrected ? job.checkpointMs * 2 : 0);
}

/** The estimate record of a job kind, updated with a run that took `actualMs`. */
export function updateEstimate(
  job: Job,
  actualMs: number,
  known: EstimateRecord | undefined,
): EstimateRecord {
  const ratio = Math.log(Math.max(1, actualMs) / Math.max(1, job.declaredMs));
  const bounded = Math.max(-logRatioLimit, Math.min(logRatioLimit, ratio));
  const runs = (known?.runs ?? 0) + 1;
  const weight = Math.max(1 / runs, newestWeight);
  const before = known?.meanLogRatio ?? 0;
  return {
    kind: kindOf(job),
    runs: Math.min(runs, 1_000),
    meanLogRatio: before + weight * (bounded - before),
  };
}
