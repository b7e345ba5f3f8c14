/** Room kept for each accelerator that was taken from other work: gangs need whole runners, which narrower work breaks up. */
const keptPerStopped = 2;
/** Milliseconds after which half of the headroom is given back: a few gaps between urgent jobs. */
const halfLifeMs = 12_000;

/**
 * Accelerators that are kept free for urgent jobs.
 *
 * Load pattern: urgent jobs come at random, each short but wide. To stop other work for them takes
 * a good part of the time that they have, and throws work away; both cost more than the idle time
 * of the room. Each time work is stopped, room is kept free; while none is, it is given back.
 */
export class UrgentHeadroom {
  private accelerators = 0;

  private updatedAt = 0;

  /** @param most accelerators that may be kept free at all */
  public at(now: number, most: number): number {
    this.decay(now);
    this.accelerators = Math.min(this.accelerators, most);
    return this.accelerators;
  }

  /** Running work that used so many accelerators was stopped for an urgent job. */
  public noteStop(accelerators: number, now: number): void {
    this.decay(now);
    this.accelerators += accelerators * keptPerStopped;
  }

  public restore(accelerators: number, now: number): void {
    this.accelerators = accelerators;
    this.updatedAt = now;
  }

  private decay(now: number): void {
    const passedMs = Math.max(0, now - this.updatedAt);
    this.accelerators *= 0.5 ** (passedMs / halfLifeMs);
    this.updatedAt = now;
  }
}
