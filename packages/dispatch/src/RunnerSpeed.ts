/** Minimum weight of a new sample, so that the mean follows runners that turn slow for seconds. */
const minSampleWeight = 0.1;
/** Samples after which half of the deviation from speed 1 is held to be certain. */
const halfCertainSamples = 2;
/** Certainty from which a learned speed is used; one sample may stem from an uneven share of work. */
const minCertainty = 0.5;
/** Samples beyond which the minimum weight of a new one keeps the mean from becoming more exact. */
const maxEffectiveSamples = 2 / minSampleWeight - 1;
/** Deviations that are kept for the variance of the samples; older ones lose weight. */
const maxDeviations = 40;

/**
 * Number of samples, the mean logarithm of the durations relative to those on other runners, and the
 * variance of the samples; rounded. Versions that only knew slow runners stored the first two.
 */
export type SpeedRecord = readonly [samples: number, meanLog: number, variance?: number];

const decimalScale = 1_000;

function rounded(value: number): number {
  return Math.round(value * decimalScale) / decimalScale;
}

/**
 * Speed of a runner, learned from tasks of the same step on different runners. 1 is the speed of the
 * mean runner, and of one that is not known.
 *
 * Load pattern: gangs on runners of several speeds. A gang is as fast as its slowest member, and
 * urgent objectives leave little slack.
 */
export class RunnerSpeed {
  private sampleCount = 0;

  private meanLog = 0;

  private centreLog = 0;

  private squaredDeviations = 0;

  private deviations = 0;

  private currentValue = 1;

  /** @param log logarithm of the speed that one task has shown */
  public add(log: number): void {
    const deviation = log - this.meanLog;
    if (this.sampleCount > 0) {
      const decay = this.deviations < maxDeviations ? 1 : 1 - 1 / maxDeviations;
      const share = this.effectiveSamples / (this.effectiveSamples + 1);
      this.squaredDeviations = decay * this.squaredDeviations + share * deviation ** 2;
      this.deviations = decay * this.deviations + 1;
    }
    this.sampleCount += 1;
    this.meanLog += Math.max(minSampleWeight, 1 / this.sampleCount) * deviation;
  }

  public get samples(): number {
    return this.sampleCount;
  }

  /** Number of independent samples whose mean would be as exact. */
  public get effectiveSamples(): number {
    return Math.min(maxEffectiveSamples, this.sampleCount);
  }

  /** Sum of squares and number of the deviations of samples from the mean of the earlier ones. */
  public get scatter(): { readonly squares: number; readonly count: number } {
    return { squares: this.squaredDeviations, count: this.deviations };
  }

  /** From 0 (not known) towards 1. */
  public get certainty(): number {
    return this.sampleCount / (this.sampleCount + halfCertainSamples);
  }

  public get isCertain(): boolean {
    return this.certainty >= minCertainty;
  }

  /** Logarithm of the speed learned from the samples, relative to the mean runner. */
  public get log(): number {
    return this.isCertain ? this.meanLog - this.centreLog : 0;
  }

  /** Mean logarithm of the samples, without the correction for the mean runner. */
  public get sampleLog(): number {
    return this.meanLog;
  }

  /** Speed that decisions use: that of its class, see `SpeedClasses`. */
  public get value(): number {
    return this.currentValue;
  }

  /** @param centreLog mean logarithm over all runners whose speed is certain */
  public assign(value: number, centreLog: number): void {
    this.currentValue = value;
    this.centreLog = centreLog;
  }

  /** Forgets the samples, because the runner was replaced by one that may be of another kind. */
  public reset(): void {
    this.restore([0, 0]);
    this.currentValue = 1;
  }

  public get record(): SpeedRecord {
    const variance = this.squaredDeviations / Math.max(1, this.deviations);
    return [this.sampleCount, rounded(-this.meanLog), rounded(variance)];
  }

  public restore([samples, slowdownLog, variance]: SpeedRecord): void {
    this.sampleCount = samples;
    this.meanLog = -slowdownLog;
    this.deviations =
      variance === undefined ? 0 : Math.min(maxDeviations, Math.max(0, samples - 1));
    this.squaredDeviations = (variance ?? 0) * this.deviations;
  }
}
