import type { JobRun } from './JobRun.js';
import type { TaskGroup } from './TaskGroup.js';
import { TaskGroupPhase } from './TaskGroup.js';

/** Tasks of lasting steps that may still be stopped without leaving too many of them missing. */
export class LastingTasks {
  /** Missing tasks, by job, occurrence and step. */
  private readonly missing = new Map<JobRun, Map<string, number>>();

  /** Whether the number of tasks that its step may miss is limited. */
  public static isBounded({ step }: TaskGroup): boolean {
    return step.isLasting && step.mayMiss !== undefined;
  }

  /** Counts the tasks of the group as missing if its step can spare them. */
  public spare(group: TaskGroup): boolean {
    const { job, occurrence, stepIndex, members, step } = group;
    const steps = this.missing.get(job) ?? new Map<string, number>();
    this.missing.set(job, steps);
    const key = `${occurrence}.${stepIndex}`;
    const missing = steps.get(key) ?? countMissing(group);
    // A group that does not run yet is among the missing ones.
    const added = group.phase === TaskGroupPhase.running ? members.length : 0;
    const isSpared = missing + added <= (step.mayMiss ?? Infinity);
    steps.set(key, isSpared ? missing + added : missing);
    return isSpared;
  }
}

function countMissing({ job, occurrence, stepIndex }: TaskGroup): number {
  return [...job.groups.values()]
    .filter((other) => other.occurrence === occurrence && other.stepIndex === stepIndex)
    .filter(({ phase }) => phase !== TaskGroupPhase.running)
    .reduce((sum, { members }) => sum + members.length, 0);
}
