import type { Clock, Event } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';

/** Milliseconds by which the wall clock may gain on the monotonic clock without a suspension. */
const maxDriftMs = 100;

/**
 * A monotonic clock that includes the time for which the machine was suspended, measured by the
 * wall clock. A forward step of the wall clock is indistinguishable from a suspension, so this clock
 * may run ahead. That is safe for the end of a lease of this instance, not for one of another process.
 */
export class SuspendAwareClock implements Clock {
  private readonly stepped = new Emitter<number>();

  /** Fires with the step in milliseconds after a suspension or a step of the wall clock. */
  public readonly onStep: Event<number> = this.stepped.event;

  private suspendedMs = 0;

  private lastOffset: number;

  public constructor(private readonly clock: Clock) {
    this.lastOffset = clock.wall() - clock.monotonic();
  }

  public monotonic(): number {
    const now = this.clock.monotonic();
    const offset = this.clock.wall() - now;
    const stepMs = offset - this.lastOffset;
    this.lastOffset = offset;
    if (stepMs > maxDriftMs) {
      this.suspendedMs += stepMs;
    }
    if (Math.abs(stepMs) > maxDriftMs) {
      this.stepped.fire(stepMs);
    }
    return now + this.suspendedMs;
  }

  public wall(): number {
    return this.clock.wall();
  }
}
