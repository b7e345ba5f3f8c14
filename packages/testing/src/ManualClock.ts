import type { Clock } from '@apricothoist/common';

/** Clock whose time the test sets; both of its times start at one million milliseconds. */
export class ManualClock implements Clock {
  public now = 1_000_000;

  public monotonic(): number {
    return this.now;
  }

  public wall(): number {
    return this.now;
  }

  public advance(milliseconds: number): void {
    this.now += milliseconds;
  }
}
