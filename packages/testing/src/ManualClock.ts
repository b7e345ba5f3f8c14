import type { Clock } from '@apricothoist/common';

/**
 * Clock that only the test advances. Its monotonic and its wall time both start at one million
 * milliseconds.
 */
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
