/** Room kept for each accelerator whose work was lost: gangs need whole runners, which narrower work breaks up. */
const keptPerLost = 2;
/** Milliseconds after which half of the headroom is given back: a few gaps between urgent jobs. */
const halfLifeMs = 8_000;

/**
 * Accelerators that are kept free for urgent jobs.
 *
 * Load pattern: urgent jobs come at random, each short but wide. Work that is stopped for them is
 * lost, and costs more than the idle time of the room that it would have used. Each time work is
 * lost, room is kept free; while none is lost, it is given back.
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

  /** Running work that used so many accelerators was stopped for an urgent job, and is lost. */
  public noteLoss(accelerators: number, now: number): void {
    this.decay(now);
    this.accelerators += accelerators * keptPerLost;
  }

  private decay(now: number): void {
    const passedMs = Math.max(0, now - this.updatedAt);
    this.accelerators *= 0.5 ** (passedMs / halfLifeMs);
    this.updatedAt = now;
  }
}
