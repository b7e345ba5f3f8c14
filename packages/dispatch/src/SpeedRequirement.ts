import { objectiveMs, remainingChainMs } from './DispatchOrder.js';
import type { DispatchState } from './DispatchState.js';
import type { JobRun } from './JobRun.js';
import { maxLateFactor } from './Objective.js';
import { remainingRunMs } from './RemainingTime.js';
import type { TaskGroup } from './TaskGroup.js';

/** Factor on expected durations, which are wrong by a third in either direction. */
const durationMargin = 1.25;

/** The speed that a task group needs for its job to meet its objective. */
export class SpeedRequirement {
  private readonly byJob = new Map<JobRun, number>();

  public constructor(
    private readonly state: DispatchState,
    private readonly now: number,
  ) {}

  /** Whether there are runners of different speeds. */
  public get isUneven(): boolean {
    return this.state.speedClasses.isUneven;
  }

  /** Speeds of all runners, in ascending order. */
  public get levels(): readonly number[] {
    return this.state.speedClasses.levels;
  }

  /**
   * Lowest speed of a class on which the job still meets its objective. If it meets it on none,
   * urgent work needs the fastest class, and other work the slowest on which it still has value.
   */
  public of({ job }: TaskGroup): number {
    const known = this.byJob.get(job);
    if (known !== undefined) {
      return known;
    }
    const speed = this.isUneven ? this.requiredBy(job) : 0;
    this.byJob.set(job, speed);
    return speed;
  }

  private requiredBy(job: JobRun): number {
    const { estimates } = this.state;
    const objective = objectiveMs(job, estimates);
    const leftMs =
      durationMargin *
      remainingChainMs(job, estimates, (group) => remainingRunMs(group, this.state, this.now));
    const waitedMs = this.now - job.arrivedAt;
    const { levels } = this;
    const isInTime = (level: number): boolean => waitedMs + leftMs / level <= objective;
    const hasValue = (level: number): boolean =>
      waitedMs + leftMs / level <= maxLateFactor * objective;
    const inTime = levels.find(isInTime);
    if (inTime !== undefined) {
      return inTime;
    }
    const otherwise = job.queue.priority === 0 ? levels.at(-1) : levels.find(hasValue);
    return otherwise ?? 0;
  }
}
