import { Random } from '@apricothoist/common';
import type {
  DecisionFields,
  DecisionLog,
  JobSpecification,
  JobState,
  ListedRunner,
  Queue,
  StartCommand,
  Step,
} from '@apricothoist/dispatch';
import {
  decideAdmission,
  defaultPolicy,
  Dispatcher,
  JobState as State,
  StartOutcome,
} from '@apricothoist/dispatch';

import { alignGangEnds } from './alignGangEnds.js';
import { preemptionReason, ReplayRunLog } from './ReplayRunLog.js';
import type { ReplayedRun } from './ReplayRunner.js';
import { ReplayRunner } from './ReplayRunner.js';
import type { JobArrival, ReplayDeployment } from './replaySettings.js';
import { createSpecification, plainDeployment, plainStep, replayBounds } from './replaySettings.js';
import { ReplayUsage } from './ReplayUsage.js';

/** Progress of a job in a replay. Times in virtual milliseconds; 0 if not reached yet. */
export interface ReplayedJob {
  readonly id: string;
  readonly queue: string;
  readonly account: string;
  /** Time of its first submission. */
  readonly arrivedAt: number;
  state: JobState;
  startedAt: number;
  endedAt: number;
  /** Time during which a task group that was ready to run did not run. */
  waitedMs: number;
  /** Number of its task groups' runs that were preempted. */
  preemptions: number;
  /** Number of submissions that admission refused. */
  refusals: number;
  /** Whether the caller gave up after its last refusal. */
  isRefused: boolean;
}

/** Deviations of runner speeds and task durations from the nominal values. */
export interface ReplayVariation {
  /** Every n-th runner is slow; 0 for none. */
  readonly slowEvery: number;
  /** Factor by which tasks take longer on a slow runner. */
  readonly slowFactor: number;
  /** Factor by which tasks take longer on all other runners; 1 if absent. */
  readonly normalFactor?: number;
  /** Relative jitter of the task durations within a step. */
  readonly unevenness: number;
  /** Speed of runner i is `speeds[i % length]`; absent: as `slowEvery` and `slowFactor` say. */
  readonly speeds?: readonly number[];
  /** Share of the tasks that take `stragglerFactor` times as long; 0 if absent. */
  readonly stragglerShare?: number;
  readonly stragglerFactor?: number;
}

const tickMs = 20;
const noVariation: ReplayVariation = { slowEvery: 0, slowFactor: 1, unevenness: 0 };
const msPerSecond = 1_000;
/** Number of times that a caller comes back after a refusal, by the service requirements. */
const maxRetries = 4;

/**
 * Replays a load against the dispatcher in virtual time, on simulated runners that obey every
 * command.
 */
export class ReplaySimulation {
  public readonly dispatcher: Dispatcher;

  public readonly jobs = new Map<string, ReplayedJob>();

  public readonly decisions: { kind: string; fields: Record<string, unknown> }[] = [];

  public readonly runLog = new ReplayRunLog();

  public readonly usage = new ReplayUsage();

  /** Real milliseconds that each step of the dispatcher took. */
  public readonly stepMs: number[] = [];

  /** Starts that a runner refused for lack of free capacity. */
  public refusedStarts = 0;

  public now = 1_000;

  private readonly deployment: ReplayDeployment & typeof plainDeployment;

  private readonly random = new Random(1);

  private readonly runners = new Map<string, ReplayRunner>();

  private readonly arrivals = new Map<string, Omit<JobArrival, 'at'>>();

  private readonly specifications = new Map<string, JobSpecification>();

  /** Submissions that were refused, with the time at which the caller comes back. */
  private retries: { readonly at: number; readonly id: string }[] = [];

  private readonly startInterceptors: ((command: StartCommand) => StartOutcome | undefined)[] = [];

  public constructor(
    racks: number,
    runnersPerRack: number,
    policy = defaultPolicy,
    private readonly variation = noVariation,
    deployment: ReplayDeployment = {},
  ) {
    const decide: DecisionLog['decide'] = (kind, fields) => {
      this.decisions.push({ kind, fields: { ...fields } });
      if (kind === 'groupAborted') {
        this.recordAbort(fields);
      }
    };
    this.deployment = { ...plainDeployment, ...deployment } as typeof this.deployment;
    const { queues, accounts, stopMs } = this.deployment;
    this.dispatcher = new Dispatcher({ ...replayBounds, stopMs }, { decide }, policy);
    for (let rack = 0; rack < racks; rack += 1) {
      for (let index = 0; index < runnersPerRack; index += 1) {
        const slowdown = this.slowdownOf(rack * runnersPerRack + index);
        this.addRunner(`rack-${rack}`, `runner-${rack}-${index}`, slowdown);
      }
    }
    this.dispatcher.configure(
      new Map(queues.map((queue) => [queue.name, queue])),
      new Map(accounts.map((account) => [account.name, account])),
    );
    this.listAllRunners();
  }

  /** Core-seconds of work lost in runs that were stopped without saving their progress. */
  public get wastedCoreSeconds(): number {
    return this.runLog.wastedCoreSeconds;
  }

  /** Overrides the outcome of starts. If `decide` returns undefined, the runner decides. */
  public interceptStarts(decide: (command: StartCommand) => StartOutcome | undefined): void {
    this.startInterceptors.push(decide);
  }

  /** Updates the dispatcher's runner list with changed entries; undefined omits a runner. */
  public updateRunnerList(change: (entry: ListedRunner) => ListedRunner | undefined): void {
    const listed = [...this.runners.values()]
      .map((runner) => change(runner.entry))
      .filter((entry) => entry !== undefined);
    this.dispatcher.updateRunners(listed, this.now);
  }

  public submit(arrival: Omit<JobArrival, 'at'>): string {
    const id = String(this.jobs.size + 1).padStart(16, '0');
    const steps = arrival.steps.map((step): Step => ({ ...plainStep, ...step }));
    const { queue, account = 'anna' } = arrival;
    this.arrivals.set(id, arrival);
    this.specifications.set(id, { ...createSpecification(id, steps), queue, account });
    this.jobs.set(id, {
      id,
      queue,
      account,
      arrivedAt: this.now,
      state: State.queued,
      startedAt: 0,
      endedAt: 0,
      waitedMs: 0,
      preemptions: 0,
      refusals: 0,
      isRefused: false,
    });
    this.offer(id);
    return id;
  }

  /** Advances virtual time to `until` and submits each arrival at its time. */
  public run(until: number, arrivals: readonly JobArrival[] = []): void {
    this.advance(until, arrivals, () => false);
  }

  /** Like `run`, but ends as soon as all jobs have ended. */
  public runToEnd(until: number, arrivals: readonly JobArrival[]): void {
    this.advance(until, arrivals, () =>
      [...this.jobs.values()].every(({ endedAt }) => endedAt > 0),
    );
  }

  /** Tasks that currently run on a runner, as `task#run`. */
  public tasksOn(runnerId: string): string[] {
    return [...(this.runners.get(runnerId)?.tasks.keys() ?? [])];
  }

  private advance(until: number, arrivals: readonly JobArrival[], isOver: () => boolean): void {
    const pending = [...arrivals].sort((left, right) => left.at - right.at);
    while (this.now < until && (pending.length > 0 || !isOver())) {
      while (pending[0] !== undefined && pending[0].at <= this.now) {
        this.submit(pending.shift() as JobArrival);
      }
      const due = this.retries.filter(({ at }) => at <= this.now);
      this.retries = this.retries.filter(({ at }) => at > this.now);
      due.forEach(({ id }) => this.offer(id));
      this.runners.forEach((runner) => this.reportRunner(runner));
      const stepStartedAt = performance.now();
      const { starts, stops } = this.dispatcher.step(this.now, this.now, this.now);
      this.stepMs.push(performance.now() - stepStartedAt);
      this.dispatcher.takeUnstoredJobs();
      stops.forEach(({ runnerId, task, run }) => this.stopTask(runnerId, `${task}#${run}`));
      starts.forEach((command) => this.startTask(command));
      alignGangEnds(starts, this.runners, this.deployment.farSlowdown);
      this.updateJobs();
      this.usage.sample(this.now, tickMs, this.runners.values(), this.dispatcher.state);
      this.now += tickMs;
    }
  }

  // Submits a job that has arrived or whose caller comes back.
  private offer(id: string): void {
    const job = this.jobs.get(id) as ReplayedJob;
    const specification = this.specifications.get(id) as JobSpecification;
    const queue = this.dispatcher.state.queues.get(job.queue) as Queue;
    if (this.deployment.hasAdmission) {
      const status = this.dispatcher.describeQueues(this.now).get(queue.name);
      const admission = decideAdmission(specification, queue, status);
      if (!admission.isAccepted) {
        this.refuse(job, admission.retryAfterMs);
        return;
      }
    }
    this.dispatcher.addJob(specification, queue, this.now, this.now);
  }

  private refuse(job: ReplayedJob, retryAfterMs: number): void {
    job.refusals += 1;
    if (job.refusals > maxRetries) {
      job.isRefused = true;
      job.endedAt = this.now;
      return;
    }
    // The header of the response is in whole seconds.
    const retryMs = Math.ceil(retryAfterMs / msPerSecond) * msPerSecond;
    this.retries.push({ at: this.now + retryMs, id: job.id });
  }

  private slowdownOf(number: number): number {
    const { speeds = [], slowEvery, slowFactor, normalFactor = 1 } = this.variation;
    const speed = speeds[number % speeds.length];
    if (speed !== undefined) {
      return 1 / speed;
    }
    return slowEvery > 0 && number % slowEvery === 0 ? slowFactor : normalFactor;
  }

  private addRunner(rack: string, id: string, slowdown: number): void {
    const { capacity, saveIntervalMs, reportIntervalMs = tickMs } = this.deployment;
    const timing = { saveIntervalMs, reportIntervalMs };
    const entry = {
      id,
      address: id,
      service: 'service',
      dataCentre: 'a',
      rack,
      labels: ['kind', rack],
      capacity,
      isDraining: false,
      processStartedAt: 1,
    };
    const onEnd = (run: ReplayedRun): void => this.runLog.recordEnd(run);
    this.runners.set(id, new ReplayRunner(entry, slowdown, timing, onEnd));
  }

  private listAllRunners(): void {
    this.updateRunnerList((entry) => entry);
    this.runners.forEach((runner) => this.reportRunner(runner));
  }

  private reportRunner(runner: ReplayRunner): void {
    if (!runner.isReportDue(this.now)) {
      return;
    }
    const report = runner.report(this.now);
    this.dispatcher.recordLeaseExtension(runner.entry.id, this.now);
    this.dispatcher.applyReport(runner.entry.id, report, this.now);
  }

  private recordAbort(fields: DecisionFields): void {
    this.runLog.recordAbort(fields, this.now);
    const job = this.jobs.get(String(fields.job));
    if (job !== undefined && fields.reason === preemptionReason) {
      job.preemptions += 1;
    }
  }

  private startTask(command: StartCommand): void {
    const runner = this.runners.get(command.runnerId) as ReplayRunner;
    const intercepted = this.startInterceptors
      .map((decide) => decide(command))
      .find((outcome) => outcome !== undefined);
    const outcome = intercepted ?? this.tryStart(runner, command);
    this.dispatcher.recordStartOutcomes(
      command.runnerId,
      command.task,
      command.run,
      [outcome],
      this.now,
    );
  }

  private tryStart(runner: ReplayRunner, command: StartCommand): StartOutcome {
    const [, , stepIndex, taskIndex] = command.task.split('.').map(Number);
    const step = this.specifications.get(command.jobId)?.steps[stepIndex as number] as Step;
    if (!runner.hasRoomFor(step.size)) {
      this.refusedStarts += 1;
      return StartOutcome.noCapacity;
    }
    const { durationMs = 0, taskFactors } = this.arrivals.get(command.jobId) ?? {};
    const { stragglerShare = 0, stragglerFactor = 1 } = this.variation;
    const isStraggler = stragglerShare > 0 && this.random.fraction() < stragglerShare;
    const fullMs = durationMs * (taskFactors?.[stepIndex as number]?.[taskIndex as number] ?? 1);
    const jitteredMs = this.random.jitter(
      fullMs * (isStraggler ? stragglerFactor : 1),
      this.variation.unevenness,
    );
    runner.start(command, step, jitteredMs, this.now);
    return StartOutcome.started;
  }

  private stopTask(runnerId: string, key: string): void {
    const task = this.runners.get(runnerId)?.tasks.get(key);
    if (task !== undefined) {
      task.stopAt = Math.min(task.stopAt, this.now + this.deployment.stopMs);
    }
    const [name = '', run] = key.split('#');
    this.dispatcher.recordStopResponse(runnerId, 1, name, Number(run), this.now);
  }

  private updateJobs(): void {
    const { jobs, reserved } = this.dispatcher.state;
    const reservedJobs = new Set([...reserved].map(({ job }) => job));
    this.jobs.forEach((replayed) => {
      const job = jobs.get(replayed.id);
      if (job === undefined || replayed.endedAt > 0) {
        return;
      }
      replayed.state = job.state;
      if (job.hasStarted && replayed.startedAt === 0) {
        replayed.startedAt = this.now;
      }
      if (job.isEnded) {
        replayed.endedAt = this.now;
      } else if (job.readyGroups.length > 0 || reservedJobs.has(job)) {
        replayed.waitedMs += tickMs;
      }
    });
  }
}
