/** Weight of the newest sample. */
const smoothingFactor = 0.05;
const initialEstimateMs = 50;

/** Exponential moving average of the time an endpoint takes for a request of one service. */
export class ServiceTimeEstimator {
  private estimateMs = initialEstimateMs;

  private isFirstSample = true;

  public record(milliseconds: number): void {
    const weight = this.isFirstSample ? 1 : smoothingFactor;
    this.isFirstSample = false;
    this.estimateMs += weight * (milliseconds - this.estimateMs);
  }

  public get meanMs(): number {
    return this.estimateMs;
  }
}
