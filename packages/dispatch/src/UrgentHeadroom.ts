/**
 * Accelerators of headroom per preempted accelerator. More than one, because gangs need whole
 * runners, which narrower work fragments.
 */
const headroomPerPreempted = 2;
/** Half-life of the headroom in milliseconds: the length of a few gaps between urgent jobs. */
const halfLifeMs = 12_000;

/**
 * Accelerators that are kept free for urgent jobs.
 *
 * Load pattern: urgent jobs arrive at random, each short but wide. Preempting other work for them
 * delays them by a good part of their objective and destroys work; both cost more than idle
 * capacity.
 * Each preemption increases the headroom; without preemptions it decays.
 */
export class UrgentHeadroom {
  private accelerators = 0;

  private updatedAt = 0;

  /**
   * Returns the headroom at this time.
   *
   * @param maxAccelerators limit of the headroom
   */
  public at(now: number, maxAccelerators: number): number {
    this.decay(now);
    this.accelerators = Math.min(this.accelerators, maxAccelerators);
    return this.accelerators;
  }

  /** Records that work on this number of accelerators was preempted for an urgent job. */
  public recordPreemption(accelerators: number, now: number): void {
    this.decay(now);
    this.accelerators += accelerators * headroomPerPreempted;
  }

  public restore(accelerators: number, now: number): void {
    this.accelerators = accelerators;
    this.updatedAt = now;
  }

  private decay(now: number): void {
    const elapsedMs = Math.max(0, now - this.updatedAt);
    this.accelerators *= 0.5 ** (elapsedMs / halfLifeMs);
    this.updatedAt = now;
  }
}
