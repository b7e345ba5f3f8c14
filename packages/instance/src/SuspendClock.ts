import type { Clock } from '@apricothoist/common';

/** Milliseconds by which the time of day may outrun the steady clock without a suspension. */
const driftMs = 100;

/**
 * A monotonic clock that also counts the time for which the machine was suspended, as the time of
 * day tells it. A step of the time of day forward looks the same; it ends leases early, which is
 * safe.
 */
export class SuspendClock implements Clock {
  private suspendedMs = 0;

  private lastOffset: number;

  public constructor(private readonly clock: Clock) {
    this.lastOffset = clock.wall() - clock.monotonic();
  }

  public monotonic(): number {
    const now = this.clock.monotonic();
    const offset = this.clock.wall() - now;
    if (offset - this.lastOffset > driftMs) {
      this.suspendedMs += offset - this.lastOffset;
    }
    this.lastOffset = offset;
    return now + this.suspendedMs;
  }

  public wall(): number {
    return this.clock.wall();
  }
}
