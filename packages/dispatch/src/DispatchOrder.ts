import { msPerSecond } from '@apricothoist/common';

import type { DurationEstimates } from './DurationEstimates.js';
import { roomOf } from './Job.js';
import type { JobRun } from './JobRun.js';
import { coresOf } from './Resources.js';

/** Multiple of the objective up to which a late job is still of use to its client. */
export const lateLimit = 3;

/** How a waiting job stands against its objective. */
export const Standing = {
  /** It can still meet its objective. */
  inTime: 0,
  /** It will be late, but still of use. */
  late: 1,
  /** It is past the time at which its client has a use for it. */
  hopeless: 2,
} as const;
export type Standing = (typeof Standing)[keyof typeof Standing];

/** What decides the place of a job among those that wait. */
export interface JobRank {
  readonly job: JobRun;
  readonly isGuaranteed: boolean;
  readonly isUrgent: boolean;
  readonly standing: Standing;
  /** Share of the objective that is left if the job starts now; negative when it will be late. */
  readonly slackShare: number;
  /** Work left in core-seconds. */
  readonly work: number;
  /** Greater is served first among equals. */
  readonly score: number;
}

/** Worth of a priority against the next lower one: the ratio of the users' two batch queues. */
const priorityRatio = 3;
/** Work in core-seconds below which a smaller job is not preferred any more. */
const smallestWork = 100;

/** Milliseconds of the longest chain of steps that are not done. */
export function remainingChain(job: JobRun, estimates: DurationEstimates, now: number): number {
  const { remainders } = job;
  const lengths: number[] = [];
  job.specification.steps.forEach((step, index) => {
    const before = Math.max(0, ...step.after.map((needed) => lengths[needed] ?? 0));
    const remainder = remainders[index];
    lengths[index] = before;
    if (remainder !== undefined && remainder.tasks > 0) {
      const fullMs = estimates.estimate(job.queue.name, step);
      const ranMs = remainder.hasIdle ? 0 : now - remainder.latestStart;
      lengths[index] = before + Math.max(0, fullMs - ranMs);
    }
  });
  return Math.max(0, ...lengths);
}

/** Monotonic time by which the job meets its objective. */
export function objectiveOf(job: JobRun, estimates: DurationEstimates): number {
  return job.arrivedAt + objectiveMs(job, estimates);
}

/** Length of the objective in milliseconds. */
export function objectiveMs(job: JobRun, estimates: DurationEstimates): number {
  const { steps } = job.specification;
  const lengths: number[] = [];
  steps.forEach((step, index) => {
    const before = Math.max(0, ...step.after.map((needed) => lengths[needed] ?? 0));
    lengths[index] = before + estimates.estimate(job.queue.name, step);
  });
  return job.queue.stretch * Math.max(0, ...lengths) + job.queue.targetMs;
}

/** Work that is not done yet, in core-seconds. */
export function remainingWork(job: JobRun, estimates: DurationEstimates): number {
  const { remainders } = job;
  return job.specification.steps.reduce((work, step, index) => {
    const durationMs = estimates.estimate(job.queue.name, step);
    return (
      work + ((remainders[index]?.tasks ?? 0) * coresOf(roomOf(step)) * durationMs) / msPerSecond
    );
  }, 0);
}

/**
 * Ranks waiting jobs.
 *
 * Load pattern: more work than fits, for many seconds on end. Urgent jobs within their guarantee
 * come first, then other urgent ones. The rest is served by what an accelerator-second earns, among
 * those that can still meet their objective; a job's score grows while it waits, so that large jobs
 * are not passed over for ever.
 */
export function rankJob(
  job: JobRun,
  isGuaranteed: boolean,
  estimates: DurationEstimates,
  now: number,
): JobRank {
  const objective = objectiveMs(job, estimates);
  const waitedMs = now - job.arrivedAt;
  const leftMs = remainingChain(job, estimates, now);
  const work = remainingWork(job, estimates);
  return {
    job,
    isGuaranteed,
    isUrgent: job.queue.priority === 0,
    standing: standingOf(waitedMs + leftMs, objective),
    slackShare: 1 - (waitedMs + leftMs) / objective,
    work,
    score:
      (priorityRatio ** -job.queue.priority * (1 + waitedMs / objective)) /
      Math.max(smallestWork, work),
  };
}

function standingOf(expectedMs: number, objective: number): Standing {
  if (expectedMs <= objective) {
    return Standing.inTime;
  }
  return expectedMs <= lateLimit * objective ? Standing.late : Standing.hopeless;
}

/** Orders ranks, the first to be served first. */
export function compareRanks(left: JobRank, right: JobRank): number {
  return (
    Number(right.isGuaranteed) - Number(left.isGuaranteed) ||
    Number(right.isUrgent) - Number(left.isUrgent) ||
    left.standing - right.standing ||
    right.score - left.score
  );
}
