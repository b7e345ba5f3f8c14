import type { QueueOutlook } from './Admission.js';
import { describeQueues } from './Admission.js';
import { DispatchRound } from './DispatchRound.js';
import type {
  DecisionLog,
  DispatchBounds,
  DispatchPolicy,
  StartOrder,
  StopOrder,
} from './DispatchState.js';
import { defaultPolicy, DispatchState } from './DispatchState.js';
import type { Experience } from './Experience.js';
import { recordExperience, restoreExperience } from './Experience.js';
import type { Account, JobSpecification, Queue } from './Job.js';
import { JobState } from './Job.js';
import { JobRun } from './JobRun.js';
import type { ProgressRecord } from './ProgressRecord.js';
import type { RunnerReport } from './ReportReader.js';
import { ReportReader } from './ReportReader.js';
import { Restoration } from './Restoration.js';
import type { ListedRunner, Runner } from './Runner.js';
import { extendLease, occupantKey } from './Runner.js';
import { RunnerListing } from './RunnerListing.js';
import { reportBadSign, RunnerSign } from './RunnerSigns.js';
import type { Unit } from './Unit.js';
import { UnitPhase } from './Unit.js';
import { answerStop, StartOutcome, UnitLifecycle } from './UnitLifecycle.js';

/**
 * Milliseconds between two looks at what time alone changes: leases, stalled tasks, pauses. Small
 * against each of these.
 */
const checkEveryMs = 90;
/** Milliseconds without progress after which a running task counts as stalled. */
const stalledMs = 2_500;
/** Percent of a gang member that is through with its work and waits for the others to end. */
const wholePercent = 100;
/** Milliseconds after which an unanswered stop is ordered again. */
const repeatStopMs = 700;
/** Milliseconds for which jobs that are over are remembered. */
const rememberMs = 600_000;
/** Milliseconds kept between the end of a stop and the departure of its runner. */
const leaveMarginMs = 400;
/** What the dispatcher wants to be sent. */
export interface Orders {
  readonly starts: readonly StartOrder[];
  readonly stops: readonly StopOrder[];
}

/**
 * The scheduler of jobs: takes what happened, and gives the orders that follow. It does no I/O; all
 * times are monotonic milliseconds unless a name says otherwise.
 */
export class Dispatcher {
  public readonly state: DispatchState;

  private readonly lifecycle: UnitLifecycle;

  private readonly reports: ReportReader;

  private readonly listing: RunnerListing;

  private readonly restoration: Restoration;

  private forgotten: string[] = [];

  /** Whether something happened that a round could answer. */
  private isRoundDue = true;

  private nextCheckAt = 0;

  private readonly stopOrderedAt = new Map<string, number>();

  public constructor(
    bounds: DispatchBounds,
    log: DecisionLog,
    policy: DispatchPolicy = defaultPolicy,
  ) {
    this.state = new DispatchState(bounds, log, policy);
    this.lifecycle = new UnitLifecycle(this.state);
    this.reports = new ReportReader(this.state, this.lifecycle);
    this.listing = new RunnerListing(this.state, this.reports);
    this.restoration = new Restoration(this.state, this.lifecycle);
  }

  /** Takes the queues and accounts of a newer configuration. */
  public configure(
    queues: ReadonlyMap<string, Queue>,
    accounts: ReadonlyMap<string, Account>,
  ): void {
    this.state.queues = queues;
    this.state.accounts = accounts;
    this.state.jobs.forEach((job) => {
      job.queue = queues.get(job.specification.queue) ?? job.queue;
    });
  }

  /**
   * Adds a job with the progress that the store holds of it, if any.
   *
   * @param fallback the queue if the configuration does not have it any more
   */
  public addJob(
    specification: JobSpecification,
    fallback: Queue,
    arrivedAt: number,
    now: number,
    stored?: { readonly progress: ProgressRecord; readonly version: number },
  ): void {
    if (this.state.jobs.has(specification.id)) {
      return;
    }
    const queue = this.state.queues.get(specification.queue) ?? fallback;
    const job = new JobRun(specification, queue, arrivedAt);
    this.state.jobs.set(job.id, job);
    this.state.openJobs.add(job);
    this.isRoundDue = true;
    if (stored !== undefined) {
      job.storedVersion = stored.version;
      this.restoration.restore(job, stored.progress, now);
    }
    if (job.isOver) {
      this.state.openJobs.delete(job);
    }
    this.state.log.decide('jobQueued', {
      job: job.id,
      queue: queue.name,
      account: specification.account,
      priority: queue.priority,
      state: job.state,
      steps: specification.steps.length,
      tasks: specification.steps.reduce((sum, step) => sum + step.count, 0),
    });
  }

  public cancelJob(id: string, now: number): void {
    const job = this.state.jobs.get(id);
    if (job !== undefined && !job.isOver) {
      this.isRoundDue = true;
      this.lifecycle.endJob(job, JobState.cancelled, 'cancelled by its client', now);
    }
  }

  /** Takes the newest listing of the registry, in whole. */
  public listRunners(listed: readonly ListedRunner[], now: number): void {
    this.listing.take(listed, now);
    this.isRoundDue = true;
  }

  public readReport(runnerId: string, report: RunnerReport, now: number): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      const { isFenced, silentCalls } = runner;
      const tasks = runner.occupants.size;
      this.reports.read(runner, report, now);
      this.isRoundDue ||=
        report.ended.length > 0 || !isFenced || silentCalls > 0 || runner.occupants.size !== tasks;
    }
  }

  /** A call to the runner was not answered. */
  public noteSilence(runnerId: string): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      runner.silentCalls += 1;
    }
  }

  /** A call that extends leases, or starts something, leaves now. */
  public noteLease(runnerId: string, now: number): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      extendLease(runner, this.state.bounds, now);
    }
  }

  public answerStart(
    runnerId: string,
    task: string,
    run: number,
    outcome: StartOutcome,
    now: number,
  ): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      this.lifecycle.answerStart(runner, task, run, outcome, now);
      this.isRoundDue ||= outcome !== StartOutcome.started;
    }
  }

  public answerStop(runnerId: string, task: string, run: number, now: number): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      answerStop(runner, task, run, now);
    }
  }

  /** Applies what time alone changes, decides, and returns the orders to be sent. */
  public step(now: number, wallNow: number): Orders {
    if (now >= this.nextCheckAt) {
      this.nextCheckAt = now + checkEveryMs;
      this.state.runners.forEach((runner) => this.checkRunner(runner, now));
      this.leaveDraining(now);
      this.forget(now);
      this.isRoundDue = true;
    }
    if (this.isRoundDue) {
      this.isRoundDue = false;
      this.createDueUnits(wallNow);
      new DispatchRound(this.state, this.lifecycle, now).run();
    }
    const { starts, stops } = this.state;
    this.state.starts = [];
    this.state.stops = [];
    stops.forEach(({ task, run }) => this.stopOrderedAt.set(occupantKey(task, run), now));
    return { starts, stops };
  }

  /** Jobs whose progress has to be stored; they count as stored from now on. */
  public takeDirty(): JobRun[] {
    const dirty = [...this.state.jobs.values()].filter((job) => job.isDirty);
    dirty.forEach((job) => {
      job.isDirty = false;
    });
    return dirty;
  }

  /** Jobs that are over for so long that nobody asks for them; their records are to be deleted. */
  public takeForgotten(): string[] {
    const { forgotten } = this;
    this.forgotten = [];
    return forgotten;
  }

  /** What was learned so far, for a successor. */
  public recordExperience(now: number): Experience {
    return recordExperience(this.state, now);
  }

  /** Takes over what a former scheduler has learned, before the runners are listed. */
  public restoreExperience(experience: Experience, now: number): void {
    restoreExperience(this.state, experience, now);
  }

  /** What new jobs of each queue have to expect. */
  public describeQueues(): Map<string, QueueOutlook> {
    const { queues, openJobs, runners, estimates } = this.state;
    return describeQueues(queues, openJobs, runners.values(), estimates);
  }

  private createDueUnits(wallNow: number): void {
    this.state.openJobs.forEach((job) => {
      if (job.createDueUnits(wallNow)) {
        job.isDirty = true;
      }
    });
  }

  private checkRunner(runner: Runner, now: number): void {
    if (runner.occupants.size > 0 && runner.leaseEnd > 0 && now > runner.leaseEnd) {
      this.state.log.decide('runnerLapsed', {
        runner: runner.id,
        tasks: runner.occupants.size,
        silentMs: Math.round(now - runner.reportedAt),
      });
      this.reports.lose(runner, now);
    }
    runner.occupants.forEach(({ unit, member, run }) => {
      const key = occupantKey(member.task, run);
      const orderedAt = this.stopOrderedAt.get(key);
      if (member.isStopOrdered && orderedAt !== undefined && now - orderedAt > repeatStopMs) {
        this.state.stops.push({ runnerId: runner.id, task: member.task, run });
      }
      const isStalled =
        unit.phase === UnitPhase.running &&
        !unit.step.isLasting &&
        member.percent < wholePercent &&
        runner.silentCalls === 0 &&
        now - member.progressedAt > stalledMs &&
        runner.reportedAt - member.progressedAt > stalledMs;
      if (isStalled) {
        reportBadSign(this.state, runner, RunnerSign.stalling, now);
        this.lifecycle.abort(unit, `no progress beyond ${member.percent} %`, now);
      }
    });
  }

  // Progress that a stop saves is saved at the last moment. Other units are moved only where that
  // loses less than to wait: the runner may stay longer than it says.
  private leaveDraining(now: number): void {
    const { stopMs } = this.state.bounds;
    this.state.runners.forEach((runner) => {
      if (!runner.isDraining || runner.leavesAt === Infinity) {
        return;
      }
      const staysMs = Math.max(0, runner.leavesAt - now);
      runner.occupants.forEach(({ unit }) => {
        const leftMs = this.unitLeftMs(unit, now);
        if (unit.phase !== UnitPhase.running || leftMs <= staysMs) {
          return;
        }
        const ranMs = now - unit.startedAt;
        const isDue = unit.step.savesProgress
          ? staysMs <= stopMs + leaveMarginMs
          : leftMs - staysMs > ranMs + staysMs;
        if (isDue) {
          this.lifecycle.abort(unit, 'its runner leaves', now);
        }
      });
    });
  }

  private unitLeftMs(unit: Unit, now: number): number {
    const fullMs = this.state.estimates.estimate(unit.job.queue.name, unit.step);
    return Math.max(0, fullMs - (now - unit.startedAt));
  }

  private forget(now: number): void {
    this.state.runners.forEach((runner) => {
      if (!runner.isListed && runner.occupants.size === 0) {
        this.state.runners.delete(runner.id);
      }
    });
    this.state.jobs.forEach((job) => {
      if (job.isOver && now - job.endedAt > rememberMs) {
        this.state.jobs.delete(job.id);
        this.forgotten.push(job.id);
      }
    });
    this.stopOrderedAt.forEach((orderedAt, key) => {
      if (now - orderedAt > rememberMs) {
        this.stopOrderedAt.delete(key);
      }
    });
  }
}
