import type { DispatchBounds } from './DispatchState.js';
import type { Runner } from './Runner.js';
import { slowestClockRate } from './Runner.js';

/** Margin in milliseconds for suspensions of this instance that are too short to be measured. */
const suspensionMarginMs = 300;

/**
 * Whether the process of a draining runner has ended as announced. The registry loses the entry of a
 * runner when the runner leaves and removes it, or once it has not been written for `entryTtlMs`. An
 * entry that is gone before it can have expired was removed by its runner.
 *
 * Closed connections alone are no evidence: those of a runner that is cut off close as well, and an
 * instance that has just taken over sees them later than they were closed.
 *
 * @param removedBefore monotonic time by which the registry no longer contained the entry
 */
export function hasDeparted(
  runner: Runner,
  removedBefore: number,
  { entryTtlMs }: DispatchBounds,
): boolean {
  const longestAgeMs = removedBefore - runner.entryWrittenAfter;
  return (
    runner.isLeaving &&
    runner.disconnectedAt !== undefined &&
    longestAgeMs < entryTtlMs * slowestClockRate - suspensionMarginMs
  );
}
