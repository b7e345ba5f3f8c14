/**
 * Longest pause in milliseconds that an instance leaves to stronger ones before it takes the free
 * key; two looks at the key, so that a stronger one that lives has seen it too.
 */
const longestPauseMs = 500;
/** Share of the strongest instance's cores from which an instance schedules on. */
const enoughShare = 0.6;
/** Milliseconds for which a stronger follower has to be heard before scheduling is handed over. */
const handOverAfterMs = 2_000;
/** Multiple of that time after each hand-over: the stronger one may be cut off from the store. */
const patienceFactor = 4;

/** Milliseconds that an instance leaves to stronger ones before it takes the free key. */
export function candidacyPauseMs(cores: number, strongestCores: number): number {
  return strongestCores <= cores ? 0 : longestPauseMs * (1 - cores / strongestCores);
}

/**
 * Decides whether the scheduling instance hands over to a stronger one.
 *
 * Load pattern: instances of unequal size, of which a small one took over while the others were
 * gone. With several hundred runners it answers late for the rest of its tenure.
 */
export class HandOver {
  private strongerSince = Infinity;

  private afterMs = handOverAfterMs;

  public constructor(private readonly cores: number) {}

  /** @param strongestCores cores of the strongest instance that follows at this moment */
  public isDue(strongestCores: number, now: number): boolean {
    if (this.cores >= strongestCores * enoughShare) {
      this.strongerSince = Infinity;
      return false;
    }
    this.strongerSince = Math.min(this.strongerSince, now);
    if (now - this.strongerSince < this.afterMs) {
      return false;
    }
    this.strongerSince = Infinity;
    this.afterMs *= patienceFactor;
    return true;
  }
}
