import type { RunnerSpeed } from './RunnerSpeed.js';

/** Tasks on other runners that a task is compared with at least; a median of three bears one outlier. */
const minReferences = 3;
/** Latest tasks that are kept for comparison, to bound the cost for steps with hundreds of tasks. */
const maxEntries = 24;
/**
 * Logarithm of the largest deviation that is ascribed to the runner: speeds differ by a factor of up
 * to 2.2 and tasks vary by 30 %, while three in a hundred tasks take seven times as long.
 */
const maxDeviationLog = Math.log(4);

interface Entry {
  readonly speed: RunnerSpeed;
  readonly log: number;
  isCompared: boolean;
}

/** Projected durations of the tasks of one step, to compare the runners that execute them. */
export class StepDurations {
  private readonly entries: Entry[] = [];

  /** Runners with a sample: tasks of one step on the same runner are not independent. */
  private readonly sampled = new Set<RunnerSpeed>();

  /**
   * Adds the projected duration of a task. Earlier tasks are compared as soon as there are enough
   * others: fast runners are the first to report a representative progress.
   */
  public add(speed: RunnerSpeed, durationMs: number): void {
    this.entries.push({ speed, log: Math.log(Math.max(1, durationMs)), isCompared: false });
    if (this.entries.length > maxEntries) {
      this.entries.shift();
    }
    this.entries
      .filter(({ isCompared }) => !isCompared)
      .forEach((entry) => {
        const work = this.medianWorkElsewhere(entry.speed);
        if (work === undefined || this.sampled.has(entry.speed)) {
          return;
        }
        entry.isCompared = true;
        const shown = work - entry.log;
        if (Math.abs(shown - entry.speed.log) <= maxDeviationLog) {
          this.sampled.add(entry.speed);
          entry.speed.add(shown);
        }
      });
  }

  // Median logarithm of the durations on other runners, converted to speed 1: a step may run on
  // slow runners only.
  private medianWorkElsewhere(speed: RunnerSpeed): number | undefined {
    const logs = this.entries
      .filter((entry) => entry.speed !== speed)
      .map((entry) => entry.log + entry.speed.log)
      .sort((left, right) => left - right);
    if (logs.length < minReferences) {
      return undefined;
    }
    const middle = Math.floor(logs.length / 2);
    const upper = logs[middle] ?? 0;
    return logs.length % 2 === 1 ? upper : (upper + (logs[middle - 1] ?? 0)) / 2;
  }
}
