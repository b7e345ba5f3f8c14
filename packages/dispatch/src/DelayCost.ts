import { maxLateFactor } from './Objective.js';

/**
 * What a caller expects of a waiting or running job. Values are in core-seconds of work of the most
 * urgent priority, so that they compare with work that is destroyed.
 */
export interface JobOutlook {
  /** Value of the job if it ends within its objective. */
  readonly value: number;
  /** Milliseconds since its arrival. */
  readonly waitedMs: number;
  /** Expected milliseconds from its next start to its end. */
  readonly remainingMs: number;
  /** Length of the objective in milliseconds. */
  readonly objectiveMs: number;
  /** Part of the objective in milliseconds that does not depend on the work. */
  readonly targetMs: number;
}

/** Value of a late result relative to one in time, as the service requirements weight them. */
export const lateValueShare = 0.25;
/**
 * Standard deviation of the logarithm of a duration against its estimate, by the service
 * requirements: an objective is missed gradually, not at a known moment.
 */
const durationSigma = 0.35;
/** Coefficients of an approximation of the normal distribution by a logistic function. */
const logisticSlope = 1.702;

/**
 * Share of its value that the job is expected to have if it starts `delayMs` from now: whole within
 * the objective, a quarter up to `maxLateFactor` times the objective, nothing after that.
 */
export function expectedValueShare(outlook: JobOutlook, delayMs: number): number {
  const inTime = inTimeProbability(outlook, delayMs);
  const late = lateProbability(outlook, delayMs);
  return lateValueShare * late + (1 - lateValueShare) * inTime;
}

/** Probability that the job meets its objective if it starts `delayMs` from now. */
export function inTimeProbability(outlook: JobOutlook, delayMs: number): number {
  const { objectiveMs, targetMs, remainingMs, waitedMs } = outlook;
  return staysWithin(waitedMs + delayMs, objectiveMs, targetMs, remainingMs);
}

/** Probability that it then ends while it has any value. */
export function lateProbability(outlook: JobOutlook, delayMs: number): number {
  const { objectiveMs, targetMs, remainingMs, waitedMs } = outlook;
  const limitMs = objectiveMs * maxLateFactor;
  return staysWithin(waitedMs + delayMs, limitMs, targetMs * maxLateFactor, remainingMs);
}

/**
 * Value that the caller is expected to lose if the job starts `delayMs` later than now.
 *
 * Load pattern: more work than capacity for seconds. Work far from its deadline loses nothing by
 * waiting, and neither does work that is hopelessly late; what loses most for the capacity that it
 * needs goes first.
 */
export function delayCost(outlook: JobOutlook, delayMs: number): number {
  return outlook.value * (expectedValueShare(outlook, 0) - expectedValueShare(outlook, delayMs));
}

/**
 * Probability that a job which starts after `spentMs` ends within `limitMs`. The limit, less its
 * fixed part, and the remaining time both grow with the true duration of the work, so an estimate
 * that is off by a factor changes the slack between them by the same factor.
 */
function staysWithin(
  spentMs: number,
  limitMs: number,
  fixedMs: number,
  remainingMs: number,
): number {
  const slackMs = limitMs - fixedMs - remainingMs;
  if (spentMs <= fixedMs) {
    return 1;
  }
  if (slackMs <= 0) {
    return 0;
  }
  const deviations = Math.log(slackMs / (spentMs - fixedMs)) / durationSigma;
  return 1 / (1 + Math.exp(-logisticSlope * deviations));
}
