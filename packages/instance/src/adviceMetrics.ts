import type { PermitSummary, RunCounters } from '@apricothoist/dispatch';

/**
 * Metrics of the advice service.
 *
 * @param permits undefined unless this instance schedules
 */
export function adviceMetrics(
  { adviceCalls, failedAdviceCalls, refusedPermits, lapsedPermits }: RunCounters,
  permits: PermitSummary | undefined,
): Readonly<Record<string, number>> {
  return {
    advice_calls: adviceCalls,
    advice_calls_failed: failedAdviceCalls,
    permits_refused: refusedPermits,
    permits_lapsed: lapsedPermits,
    permits_held: permits?.held ?? 0,
    starts_waiting_for_permit: permits?.waitingGroups ?? 0,
  };
}
