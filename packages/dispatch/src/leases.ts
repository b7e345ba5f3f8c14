import type { DispatchBounds } from './DispatchState.js';

/** Lowest rate of a runner's clock against the steady clock of an instance. */
export const slowestClockRate = 0.98;
/** Milliseconds until an ended lease counts as expired, to allow for late timers on the runner. */
const leaseSlackMs = 150;
/**
 * Lease in milliseconds on a draining runner. Nobody but the runner can tell that it has left, so its
 * work is started again once its leases have expired; short, and yet longer than a change of holder.
 */
const drainingLeaseMs = 4_000;

/** What the dispatcher knows of the leases on a runner. */
interface LeaseView {
  readonly isDraining: boolean;
  /** Steady time after which no run with a lease granted so far can still run. */
  leaseEnd: number;
}

/**
 * Records that a call is being sent that starts a task on the runner, or that may extend its leases
 * by as much as the runner grants; returns the steady time until which it may extend them.
 */
export function extendLease(runner: LeaseView, bounds: DispatchBounds, steadyNow: number): number {
  return recordLease(runner, bounds.maxLeaseMs, steadyNow);
}

/**
 * Records that a call is being sent that extends the leases on the runner; returns the steady time
 * until which it may extend them.
 */
export function grantLease(runner: LeaseView, bounds: DispatchBounds, steadyNow: number): number {
  const { maxLeaseMs } = bounds;
  const leaseMs = runner.isDraining ? Math.min(drainingLeaseMs, maxLeaseMs) : maxLeaseMs;
  return recordLease(runner, leaseMs, steadyNow);
}

function recordLease(runner: LeaseView, leaseMs: number, steadyNow: number): number {
  const longestMs = leaseMs / slowestClockRate + leaseSlackMs;
  runner.leaseEnd = Math.max(runner.leaseEnd, steadyNow + longestMs);
  return steadyNow + leaseMs;
}
