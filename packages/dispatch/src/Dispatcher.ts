import type { QueueStatus } from './Admission.js';
import { describeQueues } from './Admission.js';
import { DispatchRound, hasKnownCapacity } from './DispatchRound.js';
import type {
  DecisionLog,
  DispatchBounds,
  DispatchPolicy,
  StartCommand,
  StopCommand,
} from './DispatchState.js';
import { defaultPolicy, DispatchState } from './DispatchState.js';
import type { LearnedState } from './LearnedState.js';
import { exportLearnedState, restoreLearnedState } from './LearnedState.js';
import type { Account, JobSpecification, Queue } from './Job.js';
import { JobState } from './Job.js';
import { JobRun } from './JobRun.js';
import type { StoredProgress } from './ProgressRecord.js';
import type { RunnerReport } from './ReportHandler.js';
import { ReportHandler } from './ReportHandler.js';
import { ProgressRestorer } from './ProgressRestorer.js';
import type { ListedRunner, Runner } from './Runner.js';
import { extendLease, occupantKey } from './Runner.js';
import type { RunCounters } from './RunCounters.js';
import { RunnerCrashes } from './RunnerCrashes.js';
import { RunnerListing } from './RunnerListing.js';
import { StartOutcome } from './StartOutcome.js';
import { reportRunnerFault, RunnerFault } from './RunnerQuarantine.js';
import type { TaskGroup } from './TaskGroup.js';
import { TaskGroupPhase } from './TaskGroup.js';
import { recordStopResponse, TaskGroupLifecycle } from './TaskGroupLifecycle.js';

/**
 * Interval in milliseconds of the time-driven checks: leases, stalled tasks, back-offs. Small
 * against each of these.
 */
const checkIntervalMs = 90;
/** Milliseconds without progress after which a running task counts as stalled. */
const stallTimeoutMs = 2_500;
/** Progress in percent of a gang member that has done its work and waits for the other members. */
const completePercent = 100;
/** Milliseconds after which a stop command without effect is sent again. */
const stopRetryMs = 700;
/** Milliseconds for which ended jobs and sent stop commands are retained. */
const retentionMs = 600_000;
/** Milliseconds between removals of records; each one delays a step by some store calls. */
const removalIntervalMs = 5_000;
/** Milliseconds between the latest end of a stop and the departure of its runner. */
const evacuationMarginMs = 400;

/** Commands to be sent to runners. */
export interface Commands {
  readonly starts: readonly StartCommand[];
  readonly stops: readonly StopCommand[];
}

/**
 * The job scheduler: takes events and returns the resulting commands to runners. It does no I/O.
 * All times are monotonic milliseconds unless a name says otherwise.
 */
export class Dispatcher {
  public readonly state: DispatchState;

  private readonly lifecycle: TaskGroupLifecycle;

  private readonly crashes: RunnerCrashes;

  private readonly reportHandler: ReportHandler;

  private readonly listing: RunnerListing;

  private readonly progressRestorer: ProgressRestorer;

  private expiredJobIds: readonly string[] = [];

  private nextRemovalAt = 0;

  /** Whether an event since the last scheduling round may allow new decisions. */
  private isRoundDue = true;

  private nextCheckAt = 0;

  private readonly stopSentAt = new Map<string, number>();

  public constructor(
    bounds: DispatchBounds,
    log: DecisionLog,
    policy: DispatchPolicy = defaultPolicy,
    counters?: RunCounters,
  ) {
    this.state = new DispatchState(bounds, log, policy, counters);
    this.lifecycle = new TaskGroupLifecycle(this.state);
    this.crashes = new RunnerCrashes(this.state);
    this.reportHandler = new ReportHandler(this.state, this.lifecycle, this.crashes);
    this.listing = new RunnerListing(this.state, this.reportHandler);
    this.progressRestorer = new ProgressRestorer(this.state, this.lifecycle, this.crashes);
  }

  /** Applies the queues and accounts of a newer configuration. */
  public configure(
    queues: ReadonlyMap<string, Queue>,
    accounts: ReadonlyMap<string, Account>,
    unguardedServices: ReadonlySet<string> = new Set(),
  ): void {
    this.state.queues = queues;
    this.state.accounts = accounts;
    this.state.unguardedServices = unguardedServices;
    this.state.jobs.forEach((job) => {
      job.queue = queues.get(job.specification.queue) ?? job.queue;
    });
  }

  /**
   * Adds a job, with its stored progress if there is any.
   *
   * @param fallback used if the configuration no longer contains the queue of the job
   */
  public addJob(
    specification: JobSpecification,
    fallback: Queue,
    arrivedAt: number,
    now: number,
    stored?: StoredProgress,
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
      this.progressRestorer.restore(job, stored, now);
    }
    if (job.isEnded) {
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
    if (job !== undefined && !job.isEnded) {
      this.isRoundDue = true;
      this.lifecycle.endJob(job, JobState.cancelled, 'cancelled by client', now);
    }
  }

  /** Applies the latest complete listing of the registry. */
  public updateRunners(
    listed: readonly ListedRunner[],
    now: number,
    requestedAt: number = now,
  ): void {
    this.state.listingRequestedAt = Math.max(this.state.listingRequestedAt, requestedAt);
    this.listing.apply(listed, requestedAt, now);
    this.isRoundDue = true;
  }

  /** Applies a report; returns false if it is that of an earlier incarnation of the runner. */
  public applyReport(runnerId: string, report: RunnerReport, now: number): boolean {
    const runner = this.state.runners.get(runnerId);
    if (runner === undefined) {
      return true;
    }
    const { isFenced, isReportDue, unansweredCalls } = runner;
    const runs = runner.occupants.size + runner.strays.size;
    if (!this.reportHandler.apply(runner, report, now)) {
      return false;
    }
    this.isRoundDue ||=
      report.ended.length > 0 ||
      !isFenced ||
      isReportDue ||
      unansweredCalls > 0 ||
      runner.occupants.size + runner.strays.size !== runs;
    return true;
  }

  /** Records that the runner did not respond to a call. */
  public recordUnansweredCall(runnerId: string, now: number): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      if (runner.unansweredCalls === 0) {
        this.crashes.recordLoss(runner, now);
      }
      runner.unansweredCalls += 1;
    }
  }

  /**
   * Records that a call is being sent that extends leases on the runner or starts a task there.
   *
   * @param steadyNow reading of the steady clock, see `step`
   */
  public recordLeaseExtension(runnerId: string, steadyNow: number): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      extendLease(runner, this.state.bounds, steadyNow);
    }
  }

  /** Whether the run of a start command is still wanted, on the incarnation it was chosen for. */
  public isStartWanted(command: StartCommand, now: number): boolean {
    const { runnerId, processStartedAt, task, run } = command;
    const runner = this.state.runners.get(runnerId);
    const member = runner?.occupants.get(occupantKey(task, run))?.member;
    return (
      runner?.listed.processStartedAt === processStartedAt &&
      runner.isListed &&
      !runner.isDraining &&
      runner.isFenced &&
      hasKnownCapacity(this.state, runner, now) &&
      member !== undefined &&
      !member.isStopRequested
    );
  }

  /** Records the outcomes of all calls of a start command, in the order of the calls. */
  public recordStartOutcomes(
    runnerId: string,
    task: string,
    run: number,
    outcomes: readonly StartOutcome[],
    now: number,
  ): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      this.lifecycle.recordStartOutcomes(runner, task, run, outcomes, now);
      this.isRoundDue ||= outcomes.at(-1) !== StartOutcome.started;
    }
  }

  /** @param processStartedAt incarnation of the runner that the stop was sent to */
  public recordStopResponse(
    runnerId: string,
    processStartedAt: number,
    task: string,
    run: number,
    now: number,
  ): void {
    const runner = this.state.runners.get(runnerId);
    if (runner?.listed.processStartedAt === processStartedAt) {
      recordStopResponse(runner, task, run, now);
    }
  }

  /**
   * Runs the time-driven checks and, if due, a scheduling round; returns the commands to be sent.
   *
   * @param now monotonic time, which may run ahead after a step of the wall clock
   * @param steadyNow reading of a clock that never runs ahead; leases of runners are judged by it
   */
  public step(now: number, wallNow: number, steadyNow: number): Commands {
    if (now >= this.nextCheckAt) {
      this.nextCheckAt = now + checkIntervalMs;
      this.state.runners.forEach((runner) => this.checkRunner(runner, now, steadyNow));
      this.evacuateDraining(now);
      this.removeExpired(now);
      this.isRoundDue = true;
    }
    if (this.isRoundDue) {
      this.isRoundDue = false;
      this.createDueGroups(wallNow);
      new DispatchRound(this.state, this.lifecycle, now).run();
    }
    const { starts, stops } = this.state;
    this.state.starts = [];
    this.state.stops = [];
    stops.forEach(({ task, run }) => this.stopSentAt.set(occupantKey(task, run), now));
    return { starts, stops };
  }

  /** Returns the jobs whose progress has not been stored yet and marks it as stored. */
  public takeUnstoredJobs(): JobRun[] {
    const dirty = [...this.state.jobs.values()].filter((job) => job.isDirty);
    dirty.forEach((job) => {
      job.isDirty = false;
    });
    return dirty;
  }

  /**
   * Returns the ids of ended jobs whose retention period has expired; their records can be deleted.
   * The jobs are returned again later unless `forgetJobs` is called.
   */
  public takeExpiredJobIds(): readonly string[] {
    const { expiredJobIds } = this;
    this.expiredJobIds = [];
    return expiredJobIds;
  }

  /** Removes ended jobs; a job whose record is still stored would be added and started anew. */
  public forgetJobs(ids: readonly string[]): void {
    ids.forEach((id) => this.state.jobs.delete(id));
  }

  /** Exports the learned state for the next scheduling instance. */
  public exportLearnedState(now: number): LearnedState {
    return exportLearnedState(this.state, now);
  }

  /**
   * Imports the learned state of the previous scheduling instance; call before runners are listed.
   */
  public restoreLearnedState(learnedState: LearnedState, now: number): void {
    restoreLearnedState(this.state, learnedState, now);
  }

  /** Status of each queue, for the admission of new jobs. */
  public describeQueues(): Map<string, QueueStatus> {
    const { queues, openJobs, runners, estimates } = this.state;
    return describeQueues(queues, openJobs, runners.values(), estimates);
  }

  private createDueGroups(wallNow: number): void {
    this.state.openJobs.forEach((job) => {
      if (job.createDueGroups(wallNow)) {
        job.isDirty = true;
      }
    });
  }

  private checkRunner(runner: Runner, now: number, steadyNow: number): void {
    if (runner.hasUnknownLease) {
      runner.hasUnknownLease = false;
      extendLease(runner, this.state.bounds, steadyNow);
    }
    const runs = runner.occupants.size + runner.runningStrays.length;
    if (runs > 0 && runner.leaseEnd > 0 && steadyNow > runner.leaseEnd) {
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
      if (isStalled) {
        reportRunnerFault(this.state, runner, RunnerFault.stalled, now);
        this.lifecycle.abort(group, `stalled at ${member.percent} %`, now);
      }
    });
  }

  private isStopDue(task: string, run: number, now: number): boolean {
    const sentAt = this.stopSentAt.get(occupantKey(task, run));
    return sentAt !== undefined && now - sentAt > stopRetryMs;
  }

  // Task groups that save their progress on a stop are stopped as late as possible. Others are
  // moved only if that loses less work than waiting, because the runner may stay longer than
  // announced.
  private evacuateDraining(now: number): void {
    const { stopMs } = this.state.bounds;
    this.state.runners.forEach((runner) => {
      if (!runner.isDraining || runner.departsAt === Infinity) {
        return;
      }
      const remainsMs = Math.max(0, runner.departsAt - now);
      runner.occupants.forEach(({ group }) => {
        const groupLeftMs = this.remainingMs(group, now);
        if (group.phase !== TaskGroupPhase.running || groupLeftMs <= remainsMs) {
          return;
        }
        const ranMs = now - group.startedAt;
        const isDue = group.step.savesProgress
          ? remainsMs <= stopMs + evacuationMarginMs
          : groupLeftMs - remainsMs > ranMs + remainsMs;
        if (isDue) {
          this.lifecycle.abort(group, 'runner is draining', now);
        }
      });
    });
  }

  private remainingMs(group: TaskGroup, now: number): number {
    const expectedMs = this.state.estimates.estimate(group.job.queue.name, group.step);
    return Math.max(0, expectedMs - (now - group.startedAt));
  }

  private removeExpired(now: number): void {
    this.state.runners.forEach((runner) => {
      const mayForget = runner.strays.size === 0 || now - runner.reportedAt > retentionMs;
      if (!runner.isListed && runner.occupants.size === 0 && mayForget) {
        this.state.runners.delete(runner.id);
      }
    });
    if (now >= this.nextRemovalAt) {
      this.expiredJobIds = [...this.state.jobs.values()]
        .filter((job) => job.isEnded && now - job.endedAt > retentionMs)
        .map(({ id }) => id);
      this.nextRemovalAt = this.expiredJobIds.length > 0 ? now + removalIntervalMs : now;
    }
    this.stopSentAt.forEach((sentAt, key) => {
      if (now - sentAt > retentionMs) {
        this.stopSentAt.delete(key);
      }
    });
  }
}
