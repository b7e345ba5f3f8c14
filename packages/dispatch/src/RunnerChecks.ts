import type { DispatchState, StopCommand } from './DispatchState.js';
import { extendLease } from './leases.js';
import type { ReportHandler } from './ReportHandler.js';
import type { Runner } from './Runner.js';
import { occupantKey } from './Runner.js';
import { reportRunnerFault, RunnerFault } from './RunnerQuarantine.js';
import { updateSpeedClasses } from './SpeedClasses.js';
import type { Member, TaskGroup } from './TaskGroup.js';
import { TaskGroupPhase } from './TaskGroup.js';
import type { TaskGroupLifecycle } from './TaskGroupLifecycle.js';

/** Milliseconds without progress after which a running task counts as stalled. */
const stallTimeoutMs = 2_500;
/** Progress in percent of a gang member that has done its work and waits for the other members. */
const completePercent = 100;
/** Milliseconds by which the wall clock has to gain on the steady clock to count as a step. */
const minClockStepMs = 50;
/** Milliseconds within which a runner has answered a call or counts as silent. */
const answerTimeoutMs = 2_000;
/** Milliseconds after which a stop command without effect is sent again. */
const stopRetryMs = 700;

/**
 * Milliseconds of work that a stop of the task group loses. Nobody knows how long a task will stand
 * still; one that waits as long as its work takes to repeat costs at most twice the better choice.
 *
 * Load pattern: runners that hang for some seconds under wide gangs that are almost done.
 */
function unsavedMs(group: TaskGroup, { progressedAt }: Member): number {
  const unsavedSince = group.step.savesProgress ? group.savedAt : group.startedAt;
  return progressedAt - unsavedSince;
}

/** Time-driven checks of the runs on all runners: expired leases, stops to repeat, stalled tasks. */
export class RunnerChecks {
  private readonly stopSentAt = new Map<string, number>();

  /** Steady times at which leases were first seen to have expired. */
  private readonly expiredSince = new WeakMap<Runner, number>();

  /** Milliseconds by which the monotonic time of the last check was ahead of the steady time. */
  private clockLeadMs: number | undefined;

  public constructor(
    private readonly state: DispatchState,
    private readonly lifecycle: TaskGroupLifecycle,
    private readonly reportHandler: ReportHandler,
  ) {}

  /** @param steadyNow reading of a clock that never runs ahead; leases are judged by it */
  public run(now: number, steadyNow: number): void {
    this.followClockStep(now, now - steadyNow);
    this.state.runners.forEach((runner) => this.checkRunner(runner, now, steadyNow));
    updateSpeedClasses(this.state);
  }

  public recordStops(stops: readonly StopCommand[], now: number): void {
    stops.forEach(({ task, run }) => this.stopSentAt.set(occupantKey(task, run), now));
  }

  /** Forgets the stop commands that were sent before a monotonic time. */
  public forgetStops(before: number): void {
    this.stopSentAt.forEach((sentAt, key) => {
      if (sentAt < before) {
        this.stopSentAt.delete(key);
      }
    });
  }

  // No run has stood still for the time by which the monotonic clock has run ahead.
  private followClockStep(now: number, leadMs: number): void {
    const stepMs = leadMs - (this.clockLeadMs ?? leadMs);
    this.clockLeadMs = leadMs;
    if (stepMs < minClockStepMs) {
      return;
    }
    this.state.runners.forEach(({ occupants }) =>
      occupants.forEach(({ member }) => {
        member.progressedAt = Math.min(now, member.progressedAt + stepMs);
      }),
    );
  }

  private checkRunner(runner: Runner, now: number, steadyNow: number): void {
    if (runner.hasUnknownLease) {
      runner.hasUnknownLease = false;
      extendLease(runner, this.state.bounds, steadyNow);
    }
    const runs = runner.occupants.size + runner.runningStrays.length;
    if (runs > 0 && this.haveLeasesExpired(runner, steadyNow)) {
      this.state.log.decide('runnerLeasesExpired', {
        runner: runner.id,
        tasks: runs,
        unresponsiveMs: Math.round(now - runner.reportedAt),
        expiredMs: Math.round(steadyNow - runner.leaseEnd),
      });
      this.reportHandler.endAllRuns(runner, now, steadyNow);
    }
    runner.strays.forEach(({ task, run }) => {
      if (runner.isListed && this.isStopDue(task, run, now)) {
        this.state.stops.push({ runnerId: runner.id, task, run });
      }
    });
    runner.occupants.forEach(({ group, member, run }) => {
      if (member.isStopRequested && this.isStopDue(member.task, run, now)) {
        this.state.stops.push({ runnerId: runner.id, task: member.task, run });
      }
      const isStalled =
        group.phase === TaskGroupPhase.running &&
        !group.step.isLasting &&
        member.percent < completePercent &&
        runner.unansweredCalls === 0 &&
        now - member.progressedAt > stallTimeoutMs &&
        runner.reportedAt - member.progressedAt > stallTimeoutMs;
      if (isStalled && !member.isStallReported) {
        member.isStallReported = true;
        reportRunnerFault(this.state, runner, RunnerFault.stalled, now);
      }
      if (isStalled && now - member.progressedAt >= unsavedMs(group, member)) {
        this.lifecycle.abort(group, `stalled at ${member.percent} %`, now);
      }
    });
  }

  // A runner that answers lists what has lapsed: a reading of the clock alone does not end its runs.
  private haveLeasesExpired(runner: Runner, steadyNow: number): boolean {
    if (runner.leaseEnd === 0 || steadyNow <= runner.leaseEnd) {
      this.expiredSince.delete(runner);
      return false;
    }
    const expiredSince = this.expiredSince.get(runner) ?? steadyNow;
    this.expiredSince.set(runner, expiredSince);
    const isCalled = runner.isListed && runner.unansweredCalls === 0;
    return !isCalled || steadyNow - expiredSince >= answerTimeoutMs;
  }

  private isStopDue(task: string, run: number, now: number): boolean {
    const sentAt = this.stopSentAt.get(occupantKey(task, run));
    return sentAt !== undefined && now - sentAt > stopRetryMs;
  }
}
