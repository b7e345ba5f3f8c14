/** Weight of a new sample beside the former ones, at least: a runner may turn slow for seconds. */
const leastWeight = 0.15;
/** Samples after which a runner may count as slow; one may come from an uneven share of the work. */
const fewSamples = 2;
/** Logarithm of the share by which a slow runner needs longer: half of what sheets call slow. */
const slowLog = Math.log(1.13);

/** Samples, and the mean of their logarithms to three digits. */
export type PaceRecord = readonly [samples: number, meanLog: number];

const digits = 1_000;

/**
 * How long a runner takes for its work, against other runners that do the same.
 *
 * Load pattern: runners of two speeds under urgent gangs, which go at the pace of their slowest
 * member and have little time to lose.
 */
export class RunnerPace {
  private samples = 0;

  private meanLog = 0;

  /** @param log logarithm of the time that a task takes here, less the mean of its siblings */
  public note(log: number): void {
    this.samples += 1;
    const weight = Math.max(leastWeight, 1 / (this.samples + 1));
    this.meanLog += weight * (log - this.meanLog);
  }

  public get isKnown(): boolean {
    return this.samples > 0;
  }

  public get record(): PaceRecord {
    return [this.samples, Math.round(this.meanLog * digits) / digits];
  }

  public restore([samples, meanLog]: PaceRecord): void {
    this.samples = samples;
    this.meanLog = meanLog;
  }

  public get isSlow(): boolean {
    return this.samples >= fewSamples && this.meanLog > slowLog;
  }
}

/** Durations that the tasks of one step are heading for. */
export class StepPace {
  private samples = 0;

  private meanLog = 0;

  /**
   * Takes the duration that a task is heading for.
   *
   * @returns its logarithm less the mean of the others; undefined while these are few
   */
  public compare(durationMs: number): number | undefined {
    const log = Math.log(Math.max(1, durationMs));
    const off = log - this.meanLog;
    const isTelling = this.samples >= fewSamples;
    this.samples += 1;
    this.meanLog += off / this.samples;
    return isTelling ? off : undefined;
  }
}
