/** Weight of the newest observation. */
const newestWeight = 0.05;
const initialServiceMs = 50;

/** Running mean of how long an endpoint needs for a request of one service. */
export class ServiceRate {
  private mean = initialServiceMs;

  private isFirst = true;

  public record(milliseconds: number): void {
    const weight = this.isFirst ? 1 : newestWeight;
    this.isFirst = false;
    this.mean += weight * (milliseconds - this.mean);
  }

  /** Milliseconds. */
  public get meanMs(): number {
    return this.mean;
  }
}
