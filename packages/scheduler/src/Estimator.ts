import type { EstimateRecord, Job } from './Plan.js';

/** Weight of the newest run once a kind has several. */
const newestWeight = 0.25;
/** Largest correction either way, as a natural logarithm. */
const logRatioLimit = Math.log(100);

/** The kind of a job: jobs of one account and name are expected to err alike. */
export function kindOf(job: Job): string {
  return `${job.account}/${job.name}`;
}

/**
 * Expected work of a job in milliseconds: the declared time, corrected by earlier runs of its
 * kind; once the job has run longer than that, twice what it has done.
 */
export function expectedMs(job: Job, estimates: ReadonlyMap<string, EstimateRecord>): number {
  const record = estimates.get(kindOf(job));
  const corrected = job.declaredMs * Math.exp(record?.meanLogRatio ?? 0);
  return Math.max(corrected, job.checkpointMs >= corrected ? job.checkpointMs * 2 : 0);
}

/** The record of a kind after a run that took `actualMs`. */
export function learn(
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
