import type { DispatchState } from './DispatchState.js';
import type { Runner } from './Runner.js';

/** Signs that a runner does not do its work. */
export const RunnerSign = {
  /** An order was not answered. */
  silent: 'silent',
  /** It refuses orders as unhealthy. */
  refusing: 'refusing',
  /** Runs fail there. */
  failing: 'failing',
  /** A run failed there as soon as it began. */
  failingEarly: 'failingEarly',
  /** Tasks there make no progress. */
  stalling: 'stalling',
} as const;
export type RunnerSign = (typeof RunnerSign)[keyof typeof RunnerSign];

/** Failed jobs in a row that hold a runner back; a single one may be the job's own fault. */
const failedJobsUntilHeldBack = 2;
/** First pause in milliseconds after a sign; it doubles with each further one. */
const firstPauseMs: Record<RunnerSign, number> = {
  silent: 500,
  refusing: 1_000,
  failing: 3_000,
  failingEarly: 1_500,
  stalling: 3_000,
};
const maxPauseMs = 20_000;

/**
 * Holds a runner back for a while after a bad sign.
 *
 * Load pattern: a runner that fails everything at once frees its room at once too, and would be
 * given every waiting task in turn.
 */
export function reportBadSign(
  state: DispatchState,
  runner: Runner,
  sign: RunnerSign,
  now: number,
): void {
  if (sign === RunnerSign.failing && runner.failedJobs.size < failedJobsUntilHeldBack) {
    return;
  }
  const pauseMs = Math.min(maxPauseMs, firstPauseMs[sign] * 2 ** runner.badSigns);
  runner.badSigns += 1;
  runner.heldBackUntil = Math.max(runner.heldBackUntil, now + pauseMs);
  state.log.decide('runnerHeldBack', {
    runner: runner.id,
    sign,
    signs: runner.badSigns,
    pauseMs,
  });
}
