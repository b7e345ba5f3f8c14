import type { DispatchState } from './DispatchState.js';
import type { Occupant, Runner } from './Runner.js';
import { occupantKey } from './Runner.js';
import type { RunEnd, UnitLifecycle } from './UnitLifecycle.js';
import { RunEnd as Ends } from './UnitLifecycle.js';
import { MemberState, UnitPhase } from './Unit.js';

/** One run that a runner lists as running. */
export interface RunningTask {
  readonly task: string;
  readonly run: number;
  /** Last saved progress; empty: none. */
  readonly saved: string;
  /** Share of the work that is done. */
  readonly percent: number;
}

/** One run that a runner lists as ended. */
export interface EndedTask {
  /** Counts from 1 in each life of the runner. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly saved: string;
}

/** Everything that a runner says of its runs. */
export interface RunnerReport {
  /** Start of this life of the runner, Unix milliseconds. */
  readonly bornAt: number;
  /** Monotonic time at which the report was asked for. */
  readonly askedAt: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
}

const wholePercent = 100;
/** Index of the member that names a gang. */
const firstMember = 0;

/** Takes the reports of runners into the state. */
export class ReportReader {
  public constructor(
    private readonly state: DispatchState,
    private readonly lifecycle: UnitLifecycle,
  ) {}

  public read(runner: Runner, report: RunnerReport, now: number): void {
    if (report.bornAt !== 0 && report.bornAt !== runner.listed.bornAt) {
      this.restart(runner, report.bornAt);
    }
    runner.isFenced = true;
    runner.silentCalls = 0;
    runner.reportedAt = now;
    runner.askedAt = Math.max(runner.askedAt, report.askedAt);
    report.ended.forEach((ended) => this.readEnd(runner, ended, now));
    const listed = new Set<string>();
    report.running.forEach((running) => {
      listed.add(occupantKey(running.task, running.run));
      this.readRunning(runner, running, now);
    });
    runner.occupants.forEach((occupant, key) => {
      if (occupant.member.settledAt < report.askedAt && !listed.has(key)) {
        this.lifecycle.endRun(runner, occupant, Ends.missing, now);
      }
    });
  }

  /**
   * The runner began a new life. What it runs now its next report tells: a task may have been started
   * in the new life already.
   */
  public restart(runner: Runner, bornAt: number): void {
    this.state.log.decide('runnerReborn', { runner: runner.id, bornAt });
    runner.listed = { ...runner.listed, bornAt };
    runner.isFenced = false;
    runner.processedEnd = 0;
  }

  /** Nothing that was on the runner runs any more. */
  public lose(runner: Runner, now: number): void {
    [...runner.occupants.values()].forEach((occupant) => {
      this.lifecycle.endRun(runner, occupant, Ends.lapsed, now);
    });
  }

  private readEnd(runner: Runner, ended: EndedTask, now: number): void {
    if (ended.number <= runner.processedEnd) {
      return;
    }
    runner.processedEnd = ended.number;
    const occupant = runner.occupants.get(occupantKey(ended.task, ended.run));
    if (occupant === undefined) {
      return;
    }
    const { unit } = occupant;
    if (ended.saved !== '' && ended.saved !== unit.saved) {
      unit.saved = ended.saved;
      unit.savedAt = now;
    }
    if (occupant.member.state === MemberState.ordered && !unit.job.hasStarted) {
      unit.job.hasStarted = true;
    }
    unit.job.isDirty = true;
    this.lifecycle.endRun(runner, occupant, ended.end, now);
  }

  // Other members of a gang end with the one that was reported done.
  private isEnding({ task, run }: RunningTask): boolean {
    const [jobId = '', occurrence = '', stepIndex = ''] = task.split('.');
    const job = this.state.jobs.get(jobId);
    const unit = job?.units.get(`${occurrence}.${stepIndex}.${firstMember}`);
    return unit?.phase === UnitPhase.done && unit.step.isGang && unit.run === run;
  }

  private readRunning(runner: Runner, running: RunningTask, now: number): void {
    const occupant = runner.occupants.get(occupantKey(running.task, running.run));
    if (occupant === undefined && this.isEnding(running)) {
      return;
    }
    if (occupant === undefined) {
      this.state.stops.push({ runnerId: runner.id, task: running.task, run: running.run });
      this.state.log.decide('orphanStopped', { runner: runner.id, ...running });
      return;
    }
    readProgress(occupant, running, now);
    if (this.state.policy.learnsPace) {
      notePace(runner, occupant, now);
    }
    if (occupant.member.state === MemberState.ordered) {
      this.lifecycle.confirmMember(occupant.unit, occupant.member, now);
    }
  }
}

function readProgress({ unit, member }: Occupant, running: RunningTask, now: number): void {
  if (running.saved !== '' && running.saved !== unit.saved) {
    unit.saved = running.saved;
    unit.savedAt = now;
  }
  if (running.percent !== member.percent || unit.phase !== UnitPhase.running) {
    member.percent = running.percent;
    member.progressedAt = now;
  }
}

/** Percent between which progress tells how long the whole task will take. */
const tellingPercent = { from: 20, to: 99 };

function notePace(runner: Runner, { unit, member }: Occupant, now: number): void {
  const { step } = unit;
  const isTelling =
    !member.isPaceNoted &&
    unit.phase === UnitPhase.running &&
    !unit.isResumed &&
    !step.isLasting &&
    !step.usesLeftover &&
    member.percent >= tellingPercent.from &&
    member.percent <= tellingPercent.to &&
    (step.dataRack === undefined || step.dataRack === runner.listed.rack);
  if (!isTelling) {
    return;
  }
  member.isPaceNoted = true;
  const wholeMs = ((now - unit.startedAt) * wholePercent) / member.percent;
  const off = unit.job.paces[unit.stepIndex]?.compare(wholeMs);
  if (off !== undefined) {
    runner.pace.note(off);
  }
}
