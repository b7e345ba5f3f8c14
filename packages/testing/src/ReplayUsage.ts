import type { Dispatcher } from '@apricothoist/dispatch';

import type { ReplayRunner } from './ReplayRunner.js';

/** Accelerator-milliseconds of one second of a replay. */
export interface UsageSecond {
  /** Of tasks that run or are being stopped. */
  occupied: number;
  /** Free, and kept for a task group that waits for the rest of its capacity. */
  reserved: number;
  idle: number;
}

const msPerSecond = 1_000;

/** Use of the accelerators of all runners, by second. */
export class ReplayUsage {
  public readonly seconds = new Map<number, UsageSecond>();

  public sample(
    now: number,
    tickMs: number,
    runners: Iterable<ReplayRunner>,
    state: Dispatcher['state'],
  ): void {
    const second = Math.floor(now / msPerSecond);
    const usage = this.seconds.get(second) ?? { occupied: 0, reserved: 0, idle: 0 };
    this.seconds.set(second, usage);
    for (const { entry, tasks } of runners) {
      let occupied = 0;
      tasks.forEach(({ step }) => {
        occupied += step.size.accelerators;
      });
      const free = Math.max(0, entry.capacity.accelerators - occupied);
      const runner = state.reserved.size === 0 ? undefined : state.runners.get(entry.id);
      const reserved = runner?.reservations.size ? Math.min(free, runner.reserved.accelerators) : 0;
      usage.occupied += occupied * tickMs;
      usage.reserved += reserved * tickMs;
      usage.idle += (free - reserved) * tickMs;
    }
  }
}
