import { describeContradiction } from './contradictions.js';
import type { DispatchState } from './DispatchState.js';
import { EndEvidence } from './EndEvidence.js';
import { projectedTaskMs } from './RemainingTime.js';
import type { Occupant, Runner } from './Runner.js';
import { occupantKey } from './Runner.js';
import type { RunnerCrashes } from './RunnerCrashes.js';
import { RunHistory } from './RunHistory.js';
import type { TaskGroupLifecycle } from './TaskGroupLifecycle.js';
import { RunEnd } from './TaskGroupLifecycle.js';
import type { TaskGroup } from './TaskGroup.js';
import { MemberState, TaskGroupPhase } from './TaskGroup.js';

/** A run that a runner reports as running. */
export interface RunningTask {
  readonly task: string;
  readonly run: number;
  /** Last saved progress; empty if there is none. */
  readonly saved: string;
  /** Finished work in percent. */
  readonly percent: number;
}

/** A run that a runner reports as ended. */
export interface EndedTask {
  /** Sequence number of the end, from 1 in each incarnation of the runner. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly saved: string;
}

/** A report of a runner on all of its runs. */
export interface RunnerReport {
  /** Start of the runner process, Unix milliseconds; 0: unknown. */
  readonly processStartedAt: number;
  /** Address that responded, if it is not the one that is in use. */
  readonly address?: string;
  /** Monotonic time at which the report was requested. */
  readonly requestedAt: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
  /** Whether the runner may have more ends than listed. */
  readonly hasMoreEnds: boolean;
}

/** Index of the member that a gang is keyed by. */
const firstMemberIndex = 0;

/** Applies the reports of runners to the state. */
export class ReportHandler {
  public constructor(
    private readonly state: DispatchState,
    private readonly lifecycle: TaskGroupLifecycle,
    private readonly crashes: RunnerCrashes,
  ) {}

  /** Applies a report; returns false if it is that of an earlier incarnation. */
  public apply(runner: Runner, report: RunnerReport, now: number): boolean {
    const { processStartedAt } = runner.listed;
    // A process that is asked after another one was known is not an earlier one, whatever its clock.
    const isEarlier = report.processStartedAt < processStartedAt;
    if (isEarlier && report.requestedAt <= runner.incarnationKnownAt) {
      const { id } = runner;
      const reportedStart = report.processStartedAt;
      this.state.log.decide('reportOutdated', { runner: id, processStartedAt, reportedStart });
      return false;
    }
    this.identify(runner, report, now);
    this.crashes.recordAnswer(runner);
    runner.isFenced = !runner.identity.isInDoubt;
    runner.isReportDue = false;
    runner.unansweredCalls = 0;
    runner.reportedAt = now;
    runner.reportRequestedAt = Math.max(runner.reportRequestedAt, report.requestedAt);
    this.applyEnds(runner, report.ended, now);
    const listedKeys = new Set<string>();
    report.running.forEach((running) => {
      listedKeys.add(occupantKey(running.task, running.run));
      this.applyRunning(runner, running, now);
    });
    removeVanishedStrays(runner, report, listedKeys);
    runner.occupants.forEach((occupant, key) => {
      // With more ends than listed, the end of the run may be among the others.
      if (!report.hasMoreEnds && !listedKeys.has(key)) {
        const { requestedAt } = report;
        const { missing } = RunEnd;
        this.lifecycle.endRun(runner, occupant, missing, EndEvidence.absent, requestedAt, now);
        this.lifecycle.abortVanished(occupant, now);
      }
    });
    return true;
  }

  // The report decides which incarnation runs, and where; entries may come from another writer.
  private identify(runner: Runner, report: RunnerReport, now: number): void {
    const { identity, listed } = runner;
    const { processStartedAt, requestedAt, address = listed.address } = report;
    if (!identity.isConfirmed) {
      this.crashes.recordEarlierCrashes(runner, processStartedAt, now);
    }
    if (processStartedAt !== listed.processStartedAt) {
      // A start without an answer may have been carried out by each of them.
      identity
        .startsBetween(listed.processStartedAt, processStartedAt)
        .forEach((startedAt) => this.restart(runner, startedAt, now));
      this.restart(runner, processStartedAt, now);
    }
    runner.listed = { ...runner.listed, address };
    const settled = identity.settle(processStartedAt, address, requestedAt);
    if (settled?.isConfirmed === true) {
      runner.applyEntry(settled.entry, settled.madeAt, settled.madeAt);
    } else if (settled !== undefined) {
      this.state.counters.contradictoryEntries += 1;
      const fields = describeContradiction(runner.listed, settled.entry);
      this.state.log.decide('entryContradicted', fields);
    }
  }

  /**
   * Records that the runner process was restarted. Its tasks are left unchanged until they are
   * missing from a report, because a task may already have been started by the new process.
   */
  private restart(runner: Runner, startedAt: number, now: number): void {
    if (runner.identity.isConfirmed) {
      this.state.log.decide('runnerRestarted', { runner: runner.id, startedAt });
      this.crashes.recordCrash(runner, now);
    }
    runner.identity.recordRestart(runner.listed.processStartedAt);
    runner.incarnationKnownAt = now;
    runner.listed = { ...runner.listed, processStartedAt: startedAt };
    runner.isFenced = false;
    runner.isEntryOutdated = true;
    runner.processedEndNumber = 0;
    runner.laterEnds.clear();
    runner.hasHeldEnds = false;
    runner.speed.reset();
    runner.occupants.forEach(({ member }) => member.history.recordRestart());
    runner.strays.forEach(({ history }) => history.recordRestart());
  }

  /** Ends all runs of the runner, whose leases have expired. */
  public endAllRuns(runner: Runner, now: number, steadyNow: number): void {
    this.crashes.recordExpiry(runner, now);
    [...runner.occupants.values()].forEach((occupant) => {
      const { lapsed } = RunEnd;
      const { leaseExpired } = EndEvidence;
      this.lifecycle.endRun(runner, occupant, lapsed, leaseExpired, steadyNow, now);
    });
    runner.runningStrays.forEach((stray) => {
      stray.isRunning = false;
      if (!stray.history.mayStillStart) {
        runner.removeStray(occupantKey(stray.task, stray.run));
      }
    });
  }

  // The end of a job that cannot be read yet stays listed, and with it those after it, until it can be.
  private applyEnds(runner: Runner, ended: readonly EndedTask[], now: number): void {
    runner.hasHeldEnds = false;
    ended
      .filter(({ number }) => number > runner.processedEndNumber)
      .sort((left, right) => left.number - right.number)
      .forEach((each) => {
        if (this.state.heldJobs.has(jobIdOf(each.task))) {
          runner.hasHeldEnds = true;
          return;
        }
        if (!runner.laterEnds.delete(each.number)) {
          this.applyEnd(runner, each, now);
        }
        if (runner.hasHeldEnds) {
          runner.laterEnds.add(each.number);
        } else {
          runner.processedEndNumber = each.number;
        }
      });
  }

  private applyEnd(runner: Runner, ended: EndedTask, now: number): void {
    const key = occupantKey(ended.task, ended.run);
    const isStray = runner.strays.get(key)?.isRunning === true;
    runner.removeStray(key);
    const occupant = runner.occupants.get(key);
    if (occupant === undefined) {
      const group = this.findGroup(ended.task);
      if (group !== undefined && (isStray || ended.end === RunEnd.done)) {
        this.lifecycle.endUnheldRun(group, { ...ended, runner }, ended.end, now);
      }
      return;
    }
    const { group } = occupant;
    if (ended.saved !== '' && ended.saved !== group.saved) {
      group.saved = ended.saved;
      group.savedAt = now;
    }
    if (occupant.member.state === MemberState.starting && !group.job.hasStarted) {
      group.job.hasStarted = true;
    }
    group.job.isDirty = true;
    this.lifecycle.endRun(runner, occupant, ended.end, EndEvidence.reported, now, now);
  }

  private findGroup(task: string): TaskGroup | undefined {
    const [, occurrence = '', stepIndex = '', index = ''] = task.split('.');
    const groups = this.state.jobs.get(jobIdOf(task))?.groups;
    return (
      groups?.get(`${occurrence}.${stepIndex}.${index}`) ??
      groups?.get(`${occurrence}.${stepIndex}.${firstMemberIndex}`)
    );
  }

  // One member reported done completes its gang; the other members end shortly after.
  private belongsToFinishedGang({ task, run }: RunningTask): boolean {
    const group = this.findGroup(task);
    return group?.phase === TaskGroupPhase.done && group.step.isGang && group.doneRun === run;
  }

  // A run that no occupant stands for is stopped, and its task is not started again beside it.
  private applyStray(runner: Runner, running: RunningTask, now: number): void {
    const { task, run } = running;
    const known = runner.strays.get(occupantKey(task, run));
    if (known?.isRunning) {
      known.history.recordReportable(now);
      return;
    }
    this.state.stops.push({ runnerId: runner.id, task, run });
    this.state.log.decide('orphanStopped', { runner: runner.id, ...running });
    const group = this.findGroup(task);
    this.reportOverlap(runner, running, group);
    runner.hasUnknownLease = true;
    if (known === undefined) {
      const history = RunHistory.forReported(now);
      runner.addStray({ task, run, group, history, isRunning: true });
    } else {
      known.isRunning = true;
      known.history.recordReportable(now);
    }
  }

  private reportOverlap(
    runner: Runner,
    { task, run }: RunningTask,
    group: TaskGroup | undefined,
  ): void {
    const other = group?.members.find((member) => member.task === task);
    if (group?.isActive && other?.state === MemberState.running) {
      this.state.counters.overlaps += 1;
      this.state.log.decide('runsOverlap', {
        job: group.job.id,
        task,
        run,
        runner: runner.id,
        otherRun: group.run,
        otherRunner: other.runnerId,
      });
    }
  }

  private applyRunning(runner: Runner, running: RunningTask, now: number): void {
    const occupant = runner.occupants.get(occupantKey(running.task, running.run));
    if (occupant === undefined && this.belongsToFinishedGang(running)) {
      return;
    }
    if (occupant === undefined) {
      this.applyStray(runner, running, now);
      return;
    }
    occupant.member.history.recordReportable(now);
    updateProgress(occupant, running, now);
    if (this.state.policy.detectsSlowRunners) {
      recordSpeed(runner, occupant);
    }
    if (occupant.member.state === MemberState.starting) {
      this.lifecycle.confirmMember(occupant.group, occupant.member, now);
    }
  }
}

function jobIdOf(task: string): string {
  return task.slice(0, task.indexOf('.'));
}

function removeVanishedStrays(
  runner: Runner,
  { requestedAt, hasMoreEnds }: RunnerReport,
  listedKeys: ReadonlySet<string>,
): void {
  const observation = { evidence: EndEvidence.absent, at: requestedAt, leaseEnd: Infinity };
  runner.strays.forEach(({ history }, key) => {
    if (!hasMoreEnds && !listedKeys.has(key) && history.isEndedBy(observation)) {
      runner.removeStray(key);
    }
  });
}

function updateProgress({ group, member }: Occupant, running: RunningTask, now: number): void {
  if (running.saved !== '' && running.saved !== group.saved) {
    group.saved = running.saved;
    group.savedAt = now;
  }
  const isOrigin = group.isResumed && member.originAt === 0;
  if (isOrigin || group.phase !== TaskGroupPhase.running) {
    member.originPercent = running.percent;
    member.originAt = now;
  }
  if (running.percent !== member.percent || group.phase !== TaskGroupPhase.running) {
    member.percent = running.percent;
    member.progressedAt = now;
    member.isStallReported = false;
  }
}

function recordSpeed(runner: Runner, { group, member }: Occupant): void {
  const { step } = group;
  const isComparable =
    !member.isSpeedRecorded &&
    group.phase === TaskGroupPhase.running &&
    !group.isResumed &&
    !step.isLasting &&
    !step.usesLeftover &&
    (step.dataRack === undefined || step.dataRack === runner.listed.rack);
  const projectedMs = isComparable ? projectedTaskMs(group, member) : undefined;
  if (projectedMs !== undefined) {
    member.isSpeedRecorded = true;
    group.job.stepDurations[group.stepIndex]?.add(runner.speed, projectedMs);
  }
}
