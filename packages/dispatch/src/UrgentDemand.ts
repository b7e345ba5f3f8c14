import type { JobRun } from './JobRun.js';

/** Length of one slot of the window in milliseconds. */
const slotMs = 500;
/** Number of slots in the window; long enough to span the gaps between urgent jobs. */
const slotCount = 24;
/** Quantile of the recent demand that is to be met without preemption. */
const demandQuantile = 0.8;

/**
 * Recent demand for accelerators by urgent jobs, used or waited for.
 *
 * Load pattern: moderate load in which urgent jobs arrive at random, each short but wide.
 * Deferrable work, which can wait without missing its objective, leaves them the capacity they
 * recently used.
 */
export class UrgentDemand {
  private slots: number[] = [];

  private slotEndsAt = 0;

  public observe(accelerators: number, now: number): void {
    if (now >= this.slotEndsAt) {
      this.slots.push(accelerators);
      this.slotEndsAt = now + slotMs;
      if (this.slots.length > slotCount) {
        this.slots.shift();
      }
      return;
    }
    const last = this.slots.length - 1;
    this.slots[last] = Math.max(this.slots[last] ?? 0, accelerators);
  }

  public get record(): readonly number[] {
    return this.slots;
  }

  public restore(slots: readonly number[]): void {
    this.slots = [...slots];
  }

  /** Accelerators to reserve for urgent jobs, including those in use by them. */
  public get coveredDemand(): number {
    const sorted = [...this.slots].sort((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) * demandQuantile)] ?? 0;
  }
}

/** Accelerators that urgent jobs currently use or wait for. */
export function urgentAccelerators(jobs: Iterable<JobRun>): number {
  let sum = 0;
  [...jobs].forEach((job) => {
    if (job.isEnded || job.queue.priority !== 0) {
      return;
    }
    const { remainders, specification } = job;
    specification.steps.forEach((step, index) => {
      const isReady = step.after.every((dependency) => remainders[dependency]?.tasks === 0);
      sum += isReady ? step.size.accelerators * (remainders[index]?.tasks ?? 0) : 0;
    });
  });
  return sum;
}
