import { performance } from 'node:perf_hooks';

import type { Clock } from './Clock.js';

/** Monotonic and wall clock of the operating system. */
export class SystemClock implements Clock {
  public monotonic(): number {
    return performance.now();
  }

  public wall(): number {
    return Date.now();
  }
}
