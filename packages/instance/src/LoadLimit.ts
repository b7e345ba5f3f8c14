/** Milliseconds after which a first load has failed; two more instances can try within 15 s. */
const firstLimitMs = 5_000;
/** Factor of the limit after a failed load, and of the time that a successful one took. */
const limitFactor = 2;

/**
 * Limits the time in which this instance, as the holder, loads the stored state before it gives the
 * leadership to another one. The limit grows with each failure, so that a load that takes long at
 * every instance is completed in the end.
 */
export class LoadLimit {
  private limitMs = firstLimitMs;

  /** @param now monotonic milliseconds */
  public deadlineFrom(now: number): number {
    return now + this.limitMs;
  }

  public recordFailure(): void {
    this.limitMs *= limitFactor;
  }

  /** Leaves enough time for another load like the one that was completed. */
  public recordLoad(tookMs: number): void {
    this.limitMs = Math.max(firstLimitMs, tookMs * limitFactor);
  }
}
