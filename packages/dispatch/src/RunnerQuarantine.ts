import type { DispatchState } from './DispatchState.js';
import type { Runner } from './Runner.js';

/** Indications that a runner is faulty. */
export const RunnerFault = {
  /** A start command got no response. */
  unanswered: 'unanswered',
  /** The runner refuses commands and reports itself as unhealthy. */
  unhealthy: 'unhealthy',
  /** Runs fail on the runner. */
  failing: 'failing',
  /** A run failed right after its start. */
  failingEarly: 'failingEarly',
  /** A task makes no progress. */
  stalled: 'stalled',
} as const;
export type RunnerFault = (typeof RunnerFault)[keyof typeof RunnerFault];

/** Failed jobs without a success until a quarantine; a single one may be the fault of the job. */
const failedJobsUntilQuarantine = 2;
/** Length in milliseconds of the first quarantine; it doubles with each further fault. */
const initialQuarantineMs: Record<RunnerFault, number> = {
  unanswered: 500,
  unhealthy: 1_000,
  failing: 3_000,
  failingEarly: 1_500,
  stalled: 3_000,
};
const maxQuarantineMs = 20_000;

/**
 * Quarantines a runner for a while after a fault indication.
 *
 * Load pattern: a runner that fails every task immediately also frees its capacity immediately, and
 * would receive every waiting task in turn.
 */
export function reportRunnerFault(
  state: DispatchState,
  runner: Runner,
  fault: RunnerFault,
  now: number,
): void {
  if (fault === RunnerFault.failing && runner.failedJobs.size < failedJobsUntilQuarantine) {
    return;
  }
  const quarantineMs = Math.min(
    maxQuarantineMs,
    initialQuarantineMs[fault] * 2 ** runner.faultCount,
  );
  runner.faultCount += 1;
  runner.quarantinedUntil = Math.max(runner.quarantinedUntil, now + quarantineMs);
  state.log.decide('runnerQuarantined', {
    runner: runner.id,
    fault,
    faults: runner.faultCount,
    quarantineMs,
  });
}
