/** Token bucket for calls with a burst of one second. Times are monotonic milliseconds. */
export class CallBudget {
  private available: number;

  private refilledAt: number;

  public constructor(
    private readonly callsPerSecond: number,
    now: number,
  ) {
    this.available = callsPerSecond;
    this.refilledAt = now;
  }

  /** Takes one call. Returns false if fewer than `reserve` calls would remain. */
  public take(now: number, reserve = 0): boolean {
    this.refill(now);
    if (this.available < 1 + reserve) {
      return false;
    }
    this.available -= 1;
    return true;
  }

  /** Earliest time at which a call is available. */
  public availableAt(now: number): number {
    this.refill(now);
    const missing = Math.max(0, 1 - this.available);
    return now + (missing * 1_000) / this.callsPerSecond;
  }

  private refill(now: number): void {
    const gained = ((now - this.refilledAt) * this.callsPerSecond) / 1_000;
    this.available = Math.min(this.callsPerSecond, this.available + Math.max(0, gained));
    this.refilledAt = Math.max(now, this.refilledAt);
  }
}
