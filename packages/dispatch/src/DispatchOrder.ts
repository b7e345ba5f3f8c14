import { msPerSecond } from '@apricothoist/common';

import type { JobOutlook } from './DelayCost.js';
import type { DurationEstimates } from './DurationEstimates.js';
import { resourcesOf } from './Job.js';
import type { JobRun } from './JobRun.js';
import { maxLateFactor } from './Objective.js';
import type { RemainingRun } from './RemainingTime.js';
import { expectedAskMs } from './Permits.js';
import { coresOf } from './Resources.js';

/** Whether a waiting job can still meet its objective. */
export const ObjectiveStatus = {
  /** The job can still meet its objective. */
  inTime: 0,
  /** The job will miss its objective but end within `maxLateFactor` times the objective. */
  late: 1,
  /**
   * The job will end beyond `maxLateFactor` times its objective and has no value for its client.
   */
  expired: 2,
} as const;
export type ObjectiveStatus = (typeof ObjectiveStatus)[keyof typeof ObjectiveStatus];

/** Sort key of a waiting job. */
export interface JobRank {
  readonly job: JobRun;
  readonly isGuaranteed: boolean;
  readonly isUrgent: boolean;
  readonly objectiveStatus: ObjectiveStatus;
  /** Slack as a share of the objective if the job starts now; negative if it will be late. */
  readonly slackShare: number;
  /** Remaining work in core-seconds. */
  readonly work: number;
  readonly outlook: JobOutlook;
  /** Tie-breaker: a greater score is scheduled first. */
  readonly score: number;
}

/** Value of a priority relative to the next lower one: the weight ratio of the two batch queues. */
const priorityValueRatio = 3;
/** Core-seconds that each job is worth beside its work, by the service requirements. */
const baseValue = 300;
/** Core-seconds below which less work does not raise the score any further. */
const minScoredWork = 100;

/** Expected milliseconds of the longest remaining chain of steps, the wait for permits included. */
export function remainingChainMs(
  job: JobRun,
  estimates: DurationEstimates,
  remainingRun: RemainingRun,
): number {
  const { remainders } = job;
  const lengths: number[] = [];
  job.specification.steps.forEach((step, index) => {
    const before = Math.max(0, ...step.after.map((dependency) => lengths[dependency] ?? 0));
    const remainder = remainders[index];
    lengths[index] = before;
    if (remainder !== undefined && remainder.tasks > 0) {
      const idleMs = remainder.hasIdle ? estimates.estimate(job.queue.name, step) : 0;
      const askMs = remainder.hasIdle ? remainingAskMs(job, index) : 0;
      lengths[index] = before + askMs + Math.max(idleMs, ...remainder.running.map(remainingRun));
    }
  });
  return Math.max(0, ...lengths);
}

// Expected time until the advice service has named runners for a step.
function remainingAskMs(job: JobRun, stepIndex: number): number {
  const { advice } = job.queue;
  if (advice === undefined) {
    return 0;
  }
  const hasPermits = [...job.permits].some(
    ([step, permits]) => permits.size > 0 && step.endsWith(`.${stepIndex}`),
  );
  return hasPermits ? 0 : expectedAskMs(advice, job.specification.steps[stepIndex]?.count ?? 0);
}

/** Monotonic time by which the job meets its objective. */
export function objectiveEndsAt(job: JobRun, estimates: DurationEstimates): number {
  return job.arrivedAt + objectiveMs(job, estimates);
}

/** Length of the objective in milliseconds. */
export function objectiveMs(job: JobRun, estimates: DurationEstimates): number {
  const { steps } = job.specification;
  const lengths: number[] = [];
  steps.forEach((step, index) => {
    const before = Math.max(0, ...step.after.map((dependency) => lengths[dependency] ?? 0));
    lengths[index] = before + estimates.estimate(job.queue.name, step);
  });
  return job.queue.stretch * Math.max(0, ...lengths) + job.queue.targetMs;
}

/** Remaining work in core-seconds. */
export function remainingWork(job: JobRun, estimates: DurationEstimates): number {
  const { remainders } = job;
  return job.specification.steps.reduce((work, step, index) => {
    const durationMs = estimates.estimate(job.queue.name, step);
    return (
      work +
      ((remainders[index]?.tasks ?? 0) * coresOf(resourcesOf(step)) * durationMs) / msPerSecond
    );
  }, 0);
}

/**
 * Computes the rank of a waiting job.
 *
 * Load pattern: more work than capacity for many seconds. Urgent jobs covered by a guarantee come
 * first, then other urgent jobs. The rest is ordered by objective status, then by value per unit of
 * remaining work. The score grows with the waiting time, so that large jobs do not starve.
 */
export function rankJob(
  job: JobRun,
  isGuaranteed: boolean,
  estimates: DurationEstimates,
  now: number,
  remainingRun: RemainingRun,
): JobRank {
  const objective = objectiveMs(job, estimates);
  const waitedMs = now - job.arrivedAt;
  const leftMs = remainingChainMs(job, estimates, remainingRun);
  const work = remainingWork(job, estimates);
  const outlook = {
    value: (baseValue + work) * priorityValueRatio ** -job.queue.priority,
    waitedMs,
    remainingMs: leftMs,
    objectiveMs: objective,
    targetMs: job.queue.targetMs,
  };
  return {
    job,
    isGuaranteed,
    isUrgent: job.queue.priority === 0,
    objectiveStatus: objectiveStatusOf(waitedMs + leftMs, objective),
    slackShare: 1 - (waitedMs + leftMs) / objective,
    work,
    outlook,
    score:
      (priorityValueRatio ** -job.queue.priority * (1 + waitedMs / objective)) /
      Math.max(minScoredWork, work),
  };
}

function objectiveStatusOf(expectedMs: number, objective: number): ObjectiveStatus {
  if (expectedMs <= objective) {
    return ObjectiveStatus.inTime;
  }
  return expectedMs <= maxLateFactor * objective ? ObjectiveStatus.late : ObjectiveStatus.expired;
}

/** Comparator that sorts the job to be scheduled first to the front. */
export function compareRanks(left: JobRank, right: JobRank): number {
  return (
    Number(right.isGuaranteed) - Number(left.isGuaranteed) ||
    Number(right.isUrgent) - Number(left.isUrgent) ||
    left.objectiveStatus - right.objectiveStatus ||
    right.score - left.score
  );
}
