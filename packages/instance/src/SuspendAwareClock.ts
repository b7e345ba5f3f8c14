import type { Clock } from '@apricothoist/common';

/** Milliseconds by which the wall clock may gain on the monotonic clock without a suspension. */
const maxDriftMs = 100;

/**
 * A monotonic clock that includes the time for which the machine was suspended, measured by the
 * wall clock. A forward step of the wall clock is indistinguishable from a suspension; it expires
 * leases early, which is safe.
 */
export class SuspendAwareClock implements Clock {
  private suspendedMs = 0;

  private lastOffset: number;

  public constructor(private readonly clock: Clock) {
    this.lastOffset = clock.wall() - clock.monotonic();
  }

  public monotonic(): number {
    const now = this.clock.monotonic();
    const offset = this.clock.wall() - now;
    if (offset - this.lastOffset > maxDriftMs) {
      this.suspendedMs += offset - this.lastOffset;
    }
    this.lastOffset = offset;
    return now + this.suspendedMs;
  }

  public wall(): number {
    return this.clock.wall();
  }
}
