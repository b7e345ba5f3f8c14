/** Retries that are allowed at once after a quiet time. */
const burst = 10;

/** Allows retries as a share of first tries, so that failures do not multiply the load. */
export class RetryBudget {
  private tokens = burst;

  /** @param retryPercent retries allowed per hundred first tries */
  public constructor(private readonly retryPercent: number) {}

  /** Notes a first try. */
  public deposit(): void {
    this.tokens = Math.min(burst, this.tokens + this.retryPercent / 100);
  }

  /** Takes one retry; false when none is left. */
  public withdraw(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
