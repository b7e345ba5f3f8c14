/** Capacity of the token bucket: retries that can be made at once after a period without any. */
const maxTokens = 10;

/** Token bucket that limits retries to a share of first attempts, to avoid retry storms. */
export class RetryBudget {
  private tokens = maxTokens;

  /** @param retryPercent retries allowed per hundred first attempts */
  public constructor(private readonly retryPercent: number) {}

  /** Records a first attempt. */
  public deposit(): void {
    this.tokens = Math.min(maxTokens, this.tokens + this.retryPercent / 100);
  }

  /** Takes a token for one retry; returns false if none is left. */
  public withdraw(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
