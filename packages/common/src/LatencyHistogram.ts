import { build } from 'hdr-histogram-js';

/** Largest recordable latency in microseconds (one hour); larger ones are clamped to it. */
const highestTrackableMicros = 3_600_000_000;

/** Histogram of latencies, recorded in milliseconds with three significant digits. */
export class LatencyHistogram {
  private readonly histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestTrackableMicros,
    numberOfSignificantValueDigits: 3,
    bitBucketSize: 64,
    useWebAssembly: false,
  });

  public record(milliseconds: number): void {
    const micros = Math.round(Math.max(0, milliseconds) * 1_000);
    this.histogram.recordValue(Math.min(micros, highestTrackableMicros));
  }

  public get count(): number {
    return this.histogram.totalCount;
  }

  /** Mean in milliseconds. */
  public get mean(): number {
    return this.histogram.totalCount === 0 ? 0 : this.histogram.mean / 1_000;
  }

  /** Largest value in milliseconds. */
  public get max(): number {
    return this.histogram.maxValue / 1_000;
  }

  /** Returns the given percentile in milliseconds. */
  public percentile(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / 1_000;
  }
}
