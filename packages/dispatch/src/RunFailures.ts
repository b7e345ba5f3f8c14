import type { DispatchState } from './DispatchState.js';
import type { Occupant, Runner } from './Runner.js';
import { reportRunnerFault, RunnerFault } from './RunnerQuarantine.js';
import type { TaskGroup } from './TaskGroup.js';

/** A run of a task on its runner. */
export interface LocatedRun {
  readonly runner: Runner;
  readonly task: string;
  readonly run: number;
}

/** Share of the expected duration before which a failure counts as early. */
const earlyFailureShare = 0.1;

/** Counts failed runs against their task groups and their runners. */
export class RunFailures {
  public constructor(private readonly state: DispatchState) {}

  /** Records that a run which counted as active has failed. */
  public recordHeld(runner: Runner, { group, member, run }: Occupant, now: number): void {
    if (this.record(group, { runner, task: member.task, run }, true)) {
      runner.failedJobs.add(group.job.id);
      reportRunnerFault(this.state, runner, this.classify(group, now), now);
    }
  }

  /** Records a failed run; returns false if it is counted already. */
  public record(group: TaskGroup, { runner, task, run }: LocatedRun, isHeld: boolean): boolean {
    if (!group.failedRuns.add(run, runner.id)) {
      return false;
    }
    group.job.isDirty = true;
    this.state.log.decide('runFailed', {
      job: group.job.id,
      group: group.key,
      run,
      task,
      runner: runner.id,
      failures: group.failures,
      isHeld,
      isRestored: group.isRestored,
    });
    return true;
  }

  // A run that fails right after its start indicates a fault of the runner rather than of the job. When
  // a restored run was started is not known.
  private classify(group: TaskGroup, now: number): RunnerFault {
    if (group.isRestored) {
      return RunnerFault.failing;
    }
    const expectedMs = this.state.estimates.estimate(group.job.queue.name, group.step);
    const ranMs = group.startedAt === 0 ? 0 : now - group.startedAt;
    return ranMs < expectedMs * earlyFailureShare ? RunnerFault.failingEarly : RunnerFault.failing;
  }
}
