import type { Step } from './Job.js';

/** Older runs fade so that the newest hundred or so dominate. */
const maxRuns = 100;
/**
 * Squared spread of declarations, in logarithms, that has to be seen before they count in full: some
 * ten runs whose declarations differ by a factor of two.
 */
const declaredPrior = 4;

/** Moments of the logarithms of actual and declared durations in milliseconds. */
interface Observed {
  runs: number;
  meanActual: number;
  meanDeclared: number;
  declaredVariance: number;
  covariance: number;
}

/** What was learned of one queue; logarithms to three digits. */
export type DurationRecord = readonly [
  queue: string,
  runs: number,
  meanActual: number,
  meanDeclared: number,
  declaredVariance: number,
  covariance: number,
];

const digits = 1_000;

function rounded(value: number): number {
  return Math.round(value * digits) / digits;
}

function declaredLog(step: Step): number {
  return Math.log(Math.max(1, step.declaredMs));
}

/**
 * Durations of tasks learned by queue. Declared durations are off by several times in some queues
 * and good in others, so a regression over the finished runs of each queue tells how much of the
 * declaration counts beside the usual duration.
 */
export class DurationEstimates {
  private readonly byQueue = new Map<string, Observed>();

  public record(queue: string, step: Step, durationMs: number): void {
    const actual = Math.log(Math.max(1, durationMs));
    const declared = declaredLog(step);
    const observed = this.byQueue.get(queue);
    if (observed === undefined) {
      this.byQueue.set(queue, {
        runs: 1,
        meanActual: actual,
        meanDeclared: declared,
        declaredVariance: 0,
        covariance: 0,
      });
      return;
    }
    observed.runs = Math.min(maxRuns, observed.runs + 1);
    const weight = 1 / observed.runs;
    const declaredOff = declared - observed.meanDeclared;
    const actualOff = actual - observed.meanActual;
    observed.meanActual += weight * actualOff;
    observed.meanDeclared += weight * declaredOff;
    observed.declaredVariance +=
      weight * (declaredOff ** 2 * (1 - weight) - observed.declaredVariance);
    observed.covariance += weight * (declaredOff * actualOff * (1 - weight) - observed.covariance);
  }

  public get records(): DurationRecord[] {
    return [...this.byQueue].map(([queue, observed]): DurationRecord => [
      queue,
      observed.runs,
      rounded(observed.meanActual),
      rounded(observed.meanDeclared),
      rounded(observed.declaredVariance),
      rounded(observed.covariance),
    ]);
  }

  public restore(records: readonly DurationRecord[]): void {
    records.forEach(([queue, runs, meanActual, meanDeclared, declaredVariance, covariance]) => {
      this.byQueue.set(queue, { runs, meanActual, meanDeclared, declaredVariance, covariance });
    });
  }

  /** Usual duration of the queue's finished tasks in milliseconds; 0 before the first. */
  public learned(queue: string): number {
    const observed = this.byQueue.get(queue);
    return observed === undefined ? 0 : Math.exp(observed.meanActual);
  }

  /** Expected duration of one task in milliseconds. */
  public estimate(queue: string, step: Step): number {
    const observed = this.byQueue.get(queue);
    if (observed === undefined) {
      return Math.max(1, step.declaredMs);
    }
    const { runs, meanActual, meanDeclared, declaredVariance, covariance } = observed;
    const slope = (covariance * runs) / (declaredVariance * runs + declaredPrior);
    const trust = Math.min(1, Math.max(0, slope));
    return Math.exp(meanActual + trust * (declaredLog(step) - meanDeclared));
  }
}
