/** Data centres that the operator evacuates, with the age of that knowledge. */
export class Evacuations {
  private requested: ReadonlySet<string> = new Set();

  /** Monotonic milliseconds; every request acknowledged before this time is known. */
  private confirmedAt = -Infinity;

  /**
   * @param maxAgeMs age of the knowledge in milliseconds from which a request that is due may be
   *   unknown; Infinity where the operator evacuates no data centres
   */
  public constructor(private readonly maxAgeMs: number) {}

  /** Records the data centres to be evacuated, as known at `confirmedAt` (monotonic). */
  public record(dataCentres: ReadonlySet<string>, confirmedAt: number): void {
    this.requested = dataCentres;
    this.confirmedAt = Math.max(this.confirmedAt, confirmedAt);
  }

  public get dataCentres(): ReadonlySet<string> {
    return this.requested;
  }

  /** Whether the operator is known to evacuate the data centre. */
  public isRequested(dataCentre: string): boolean {
    return this.requested.has(dataCentre);
  }

  /** Whether nothing may be started there, as the data centre is or may be evacuated. */
  public isClosed(dataCentre: string, now: number): boolean {
    return this.requested.has(dataCentre) || now - this.confirmedAt > this.maxAgeMs;
  }
}
