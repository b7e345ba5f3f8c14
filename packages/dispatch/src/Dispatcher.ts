import type { QueueStatus } from './Admission.js';
import { describeQueues } from './Admission.js';
import { AdviceExchange } from './AdviceExchange.js';
import type { Commands } from './Commands.js';
import { DispatchRound } from './DispatchRound.js';
import type { DecisionLog, DispatchBounds, DispatchPolicy, StartCommand } from './DispatchState.js';
import { defaultPolicy, DispatchState } from './DispatchState.js';
import type { LearnedState } from './LearnedState.js';
import { exportLearnedState, restoreLearnedState } from './LearnedState.js';
import type { Account, JobSpecification, Queue } from './Job.js';
import { JobState } from './Job.js';
import { JobRun } from './JobRun.js';
import type { ListedRunner } from './ListedRunner.js';
import type { StoredProgress } from './ProgressRecord.js';
import type { RunnerReport } from './ReportHandler.js';
import { ReportHandler } from './ReportHandler.js';
import { ProgressRestorer } from './ProgressRestorer.js';
import { remainingRunMs } from './RemainingTime.js';
import { vacateDrainingRunners } from './drainingRunners.js';
import { extendLease, occupantKey } from './Runner.js';
import type { RunCounters } from './RunCounters.js';
import { isLastingCapacity, sendRestriction } from './RunnerAvailability.js';
import { RunnerChecks } from './RunnerChecks.js';
import { RunnerCrashes } from './RunnerCrashes.js';
import { RunnerListing } from './RunnerListing.js';
import { RunnerMaintenance } from './RunnerMaintenance.js';
import { StartOutcome } from './StartOutcome.js';
import { recordStopResponse, TaskGroupLifecycle } from './TaskGroupLifecycle.js';

/**
 * Interval in milliseconds of the time-driven checks: leases, stalled tasks, back-offs. Small
 * against each of these.
 */
const checkIntervalMs = 90;
/** Milliseconds for which ended jobs and sent stop commands are retained. */
const retentionMs = 600_000;
/** Milliseconds between removals of records; each one delays a step by some store calls. */
const removalIntervalMs = 5_000;

/**
 * The job scheduler: takes events and returns the resulting commands to runners. It does no I/O.
 * All times are monotonic milliseconds unless a name says otherwise.
 */
export class Dispatcher {
  public readonly state: DispatchState;

  public readonly maintenance: RunnerMaintenance;
  public readonly advice: AdviceExchange;

  private readonly lifecycle: TaskGroupLifecycle;

  private readonly crashes: RunnerCrashes;

  private readonly reportHandler: ReportHandler;

  private readonly runnerChecks: RunnerChecks;

  private readonly listing: RunnerListing;

  private readonly progressRestorer: ProgressRestorer;

  private expiredJobIds: readonly string[] = [];

  private nextRemovalAt = 0;

  /** Whether an event since the last scheduling round may allow new decisions. */
  private isRoundDue = true;

  private nextCheckAt = 0;

  public constructor(
    bounds: DispatchBounds,
    log: DecisionLog,
    policy: DispatchPolicy = defaultPolicy,
    counters?: RunCounters,
  ) {
    this.state = new DispatchState(bounds, log, policy, counters);
    this.advice = new AdviceExchange(this.state, () => {
      this.isRoundDue = true;
    });
    this.lifecycle = new TaskGroupLifecycle(this.state);
    this.maintenance = new RunnerMaintenance(this.state, this.lifecycle);
    this.crashes = new RunnerCrashes(this.state);
    this.reportHandler = new ReportHandler(this.state, this.lifecycle, this.crashes);
    this.runnerChecks = new RunnerChecks(this.state, this.lifecycle, this.reportHandler);
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
    this.advice.updateUse();
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
    this.state.usesAdvice ||= queue.advice !== undefined;
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

  /**
   * Applies the latest complete listing of the registry.
   *
   * @param unreadableIds runners whose entries the registry contains but that cannot be read
   */
  public updateRunners(
    listed: readonly ListedRunner[],
    now: number,
    requestedAt: number = now,
    unreadableIds: ReadonlySet<string> = new Set(),
  ): void {
    this.state.listingRequestedAt = Math.max(this.state.listingRequestedAt, requestedAt);
    this.listing.apply(listed, unreadableIds, requestedAt, now);
    this.isRoundDue = true;
  }

  /**
   * Applies the operator's requests to evacuate data centres.
   *
   * @param confirmedAt monotonic time; every request acknowledged before is among them
   */
  public evacuate(dataCentres: ReadonlySet<string>, confirmedAt: number): void {
    const { evacuations, log } = this.state;
    const former = evacuations.dataCentres;
    evacuations.record(dataCentres, confirmedAt);
    const isChanged =
      former.size !== dataCentres.size || [...former].some((name) => !dataCentres.has(name));
    if (isChanged) {
      this.isRoundDue = true;
      log.decide('evacuationsChanged', { dataCentres: [...dataCentres].join(',') });
    }
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

  /**
   * Records that the runner did not respond to a call.
   *
   * @param isDisconnected whether the runner closed the connection or refused it
   */
  public recordUnansweredCall(runnerId: string, now: number, isDisconnected = false): void {
    const runner = this.state.runners.get(runnerId);
    if (runner !== undefined) {
      if (runner.unansweredCalls === 0) {
        this.crashes.recordLoss(runner, now);
      }
      runner.unansweredCalls += 1;
      if (isDisconnected) {
        runner.disconnectedAt ??= now;
      }
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
      sendRestriction(this.state, runner, now) === undefined &&
      member !== undefined &&
      !member.isStopRequested &&
      this.advice.isPermitted(command, now)
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
    if (runner?.listed.processStartedAt === processStartedAt && !runner.identity.isInDoubt) {
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
      this.runnerChecks.run(now, steadyNow);
      vacateDrainingRunners(this.state, this.lifecycle, now);
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
    this.runnerChecks.recordStops(stops, now);
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
  public describeQueues(now: number): Map<string, QueueStatus> {
    const { queues, openJobs, runners, estimates } = this.state;
    const capacity = [...runners.values()].filter((runner) =>
      isLastingCapacity(this.state, runner),
    );
    return describeQueues(queues, openJobs, capacity, estimates, (group) =>
      remainingRunMs(group, this.state, now),
    );
  }

  private createDueGroups(wallNow: number): void {
    this.state.openJobs.forEach((job) => {
      if (job.createDueGroups(wallNow)) {
        job.isDirty = true;
      }
    });
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
    this.advice.forgetEndedJobs();
    this.runnerChecks.forgetStops(now - retentionMs);
  }
}
