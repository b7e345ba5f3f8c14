/** Minimum weight of a new sample, so that the mean follows runners that turn slow for seconds. */
const minSampleWeight = 0.15;
/** Samples before a runner may count as slow; one may stem from an uneven share of the work. */
const minSamples = 2;
/** Log slowdown above which a runner counts as slow: half of what the requirements call slow. */
const slowThresholdLog = Math.log(1.13);

/** Number of samples, and the mean of their logarithms rounded to three decimals. */
export type SlowdownRecord = readonly [samples: number, meanLog: number];

const decimalScale = 1_000;

/**
 * Slowdown of a runner relative to other runners with tasks of the same step.
 *
 * Load pattern: urgent gangs on runners of two speeds. A gang is as fast as its slowest member, and
 * urgent objectives leave little slack.
 */
export class RunnerSlowdown {
  private samples = 0;

  private meanLog = 0;

  /**
   * @param log logarithm of the duration of a task, minus the mean of the other tasks of its step
   */
  public add(log: number): void {
    this.samples += 1;
    const weight = Math.max(minSampleWeight, 1 / (this.samples + 1));
    this.meanLog += weight * (log - this.meanLog);
  }

  public get isKnown(): boolean {
    return this.samples > 0;
  }

  public get record(): SlowdownRecord {
    return [this.samples, Math.round(this.meanLog * decimalScale) / decimalScale];
  }

  public restore([samples, meanLog]: SlowdownRecord): void {
    this.samples = samples;
    this.meanLog = meanLog;
  }

  public get isSlow(): boolean {
    return this.samples >= minSamples && this.meanLog > slowThresholdLog;
  }
}

/** Mean of the projected durations of the tasks of one step. */
export class StepDurations {
  private samples = 0;

  private meanLog = 0;

  /**
   * Adds the projected duration of a task.
   *
   * @returns its logarithm minus the mean of the earlier samples; undefined while there are too few
   */
  public compareProjected(durationMs: number): number | undefined {
    const log = Math.log(Math.max(1, durationMs));
    const deviation = log - this.meanLog;
    const isSignificant = this.samples >= minSamples;
    this.samples += 1;
    this.meanLog += deviation / this.samples;
    return isSignificant ? deviation : undefined;
  }
}
