import type { Step } from './Job.js';

/** Limit of the run count used as weight, so that about the latest hundred runs dominate. */
const maxWeightedRuns = 100;
/**
 * Regularization of the regression slope: the sum of squared deviations of the declarations, in
 * logarithms, at which their weight is halved. Corresponds to about ten runs whose declarations
 * differ by a factor of two.
 */
const declaredPriorVariance = 4;

/** Moments of the logarithms of actual and declared durations in milliseconds. */
interface QueueMoments {
  runs: number;
  meanActual: number;
  meanDeclared: number;
  declaredVariance: number;
  covariance: number;
}

/** Learned moments of one queue; logarithms rounded to three decimals. */
export type DurationRecord = readonly [
  queue: string,
  runs: number,
  meanActual: number,
  meanDeclared: number,
  declaredVariance: number,
  covariance: number,
];

const decimalScale = 1_000;

function rounded(value: number): number {
  return Math.round(value * decimalScale) / decimalScale;
}

function declaredLog(step: Step): number {
  return Math.log(Math.max(1, step.declaredMs));
}

/**
 * Task durations learned per queue. Declared durations are wrong by a factor of several in some
 * queues and accurate in others, so a regression over the finished runs of each queue determines
 * the weight of the declaration relative to the typical duration.
 */
export class DurationEstimates {
  private readonly byQueue = new Map<string, QueueMoments>();

  public record(queue: string, step: Step, durationMs: number): void {
    const actual = Math.log(Math.max(1, durationMs));
    const declared = declaredLog(step);
    const moments = this.byQueue.get(queue);
    if (moments === undefined) {
      this.byQueue.set(queue, {
        runs: 1,
        meanActual: actual,
        meanDeclared: declared,
        declaredVariance: 0,
        covariance: 0,
      });
      return;
    }
    moments.runs = Math.min(maxWeightedRuns, moments.runs + 1);
    const weight = 1 / moments.runs;
    const declaredDeviation = declared - moments.meanDeclared;
    const actualDeviation = actual - moments.meanActual;
    moments.meanActual += weight * actualDeviation;
    moments.meanDeclared += weight * declaredDeviation;
    moments.declaredVariance +=
      weight * (declaredDeviation ** 2 * (1 - weight) - moments.declaredVariance);
    moments.covariance +=
      weight * (declaredDeviation * actualDeviation * (1 - weight) - moments.covariance);
  }

  public get records(): DurationRecord[] {
    return [...this.byQueue].map(([queue, moments]): DurationRecord => [
      queue,
      moments.runs,
      rounded(moments.meanActual),
      rounded(moments.meanDeclared),
      rounded(moments.declaredVariance),
      rounded(moments.covariance),
    ]);
  }

  public restore(records: readonly DurationRecord[]): void {
    records.forEach(([queue, runs, meanActual, meanDeclared, declaredVariance, covariance]) => {
      this.byQueue.set(queue, { runs, meanActual, meanDeclared, declaredVariance, covariance });
    });
  }

  /** Typical duration of the finished tasks of a queue in milliseconds; 0 if there are none. */
  public typicalMs(queue: string): number {
    const moments = this.byQueue.get(queue);
    return moments === undefined ? 0 : Math.exp(moments.meanActual);
  }

  /** Expected duration of one task in milliseconds. */
  public estimate(queue: string, step: Step): number {
    const moments = this.byQueue.get(queue);
    if (moments === undefined) {
      return Math.max(1, step.declaredMs);
    }
    const { runs, meanActual, meanDeclared, declaredVariance, covariance } = moments;
    const slope = (covariance * runs) / (declaredVariance * runs + declaredPriorVariance);
    const weight = Math.min(1, Math.max(0, slope));
    return Math.exp(meanActual + weight * (declaredLog(step) - meanDeclared));
  }
}
