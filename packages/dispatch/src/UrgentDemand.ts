import type { JobRun } from './JobRun.js';

/** Milliseconds of one slot of the window. */
const slotMs = 500;
/** Slots that are remembered: long enough to span the pauses between urgent jobs. */
const slotCount = 24;
/** Share of the slots whose demand is to be met without stopping anything. */
const coveredShare = 0.8;

/**
 * Accelerators that urgent jobs used or waited for lately.
 *
 * Load pattern: a calm time in which urgent jobs come at random, each short but wide. Work that can
 * wait without missing its objective leaves them the room that they lately used.
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

  /** Accelerators to be kept for urgent jobs, those that they use included. */
  public get covered(): number {
    const sorted = [...this.slots].sort((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) * coveredShare)] ?? 0;
  }
}

/** Accelerators that urgent jobs use or wait for at this moment. */
export function urgentAccelerators(jobs: Iterable<JobRun>): number {
  let sum = 0;
  [...jobs].forEach((job) => {
    if (job.isOver || job.queue.priority !== 0) {
      return;
    }
    const { remainders, specification } = job;
    specification.steps.forEach((step, index) => {
      const isReady = step.after.every((needed) => remainders[needed]?.tasks === 0);
      sum += isReady ? step.size.accelerators * (remainders[index]?.tasks ?? 0) : 0;
    });
  });
  return sum;
}
