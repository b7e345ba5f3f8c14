/** Timing of the lease of the scheduling instance, in milliseconds. */
export interface LeaseTiming {
  /** Lifetime. No job starts until the lease of a failed holder expires. */
  readonly leaseMs: number;
  /** Time between renewals, of which several are lost before the lease expires. */
  readonly renewIntervalMs: number;
}

/** Urgent jobs can wait little more than a second, and every task that ends is shown late. */
const shortLease: LeaseTiming = { leaseMs: 1_000, renewIntervalMs: 200 };
/**
 * On a slow link the stored state that a holder loads delays its renewals: a megabyte takes 0.8 s at
 * 10 Mbit/s.
 */
const longLease: LeaseTiming = { leaseMs: 1_600, renewIntervalMs: 350 };
/** Link speed in Mbit/s from which a page of a megabyte takes less than the renewals that may be lost. */
const fastLinkMbps = 50;

/**
 * Timing of the lease that an instance acquires.
 *
 * Load pattern: urgent jobs with little slack arrive while the scheduling instance fails.
 */
export function leaseTimingFor(linkMbps: number): LeaseTiming {
  return linkMbps >= fastLinkMbps ? shortLease : longLease;
}
