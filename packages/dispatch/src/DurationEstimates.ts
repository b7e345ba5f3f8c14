import type { Step } from './Job.js';

/** Runs that count as much as the declared duration: declarations are off by several times. */
const declaredWeight = 0.25;
/** Older runs fade so that the newest hundred or so dominate. */
const maxRuns = 100;

interface Observed {
  runs: number;
  /** Mean of the logarithm of the duration in milliseconds. */
  meanLog: number;
}

/**
 * Durations of tasks learned by queue. Declared durations are often off by several times, while
 * tasks of one queue resemble each other, so a few finished runs outweigh the declaration.
 */
export class DurationEstimates {
  private readonly byQueue = new Map<string, Observed>();

  public record(queue: string, durationMs: number): void {
    const observed = this.byQueue.get(queue) ?? { runs: 0, meanLog: 0 };
    observed.runs = Math.min(maxRuns, observed.runs + 1);
    observed.meanLog += (Math.log(Math.max(1, durationMs)) - observed.meanLog) / observed.runs;
    this.byQueue.set(queue, observed);
  }

  /** Usual duration of the queue's finished tasks in milliseconds; 0 before the first. */
  public learned(queue: string): number {
    const observed = this.byQueue.get(queue);
    return observed === undefined ? 0 : Math.exp(observed.meanLog);
  }

  /** Expected duration of one task in milliseconds. */
  public estimate(queue: string, step: Step): number {
    const declaredMs = Math.max(1, step.declaredMs);
    const observed = this.byQueue.get(queue);
    if (observed === undefined) {
      return declaredMs;
    }
    const weight = observed.runs + declaredWeight;
    const sum = observed.meanLog * observed.runs + Math.log(declaredMs) * declaredWeight;
    return Math.exp(sum / weight);
  }
}
