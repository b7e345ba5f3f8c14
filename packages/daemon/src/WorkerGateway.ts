import type { Clock, Event } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type {
  ListedInstance,
  TaskAssignment,
  WorkerAssignment,
  WorkerClient,
  WorkerReport,
} from '@apricothoist/platform';
import { InstanceRole, ListedState } from '@apricothoist/platform';
import type {
  Attempt,
  Observations,
  Plan,
  PlannedTask,
  WorkerObservation,
  WorkerView,
} from '@apricothoist/scheduler';
import { assignmentsOf, isRenewable } from '@apricothoist/scheduler';

/** Duration of a task lease in milliseconds; a task stops if its lease is not renewed in time. */
export const taskLeaseMs = 8_000;
/** Time without a report, in milliseconds, after which a worker's tasks are considered lost. */
export const workerTimeoutMs = 6_000;

const busyPollIntervalMs = 2_000;
const idlePollIntervalMs = 6_000;
/** Poll interval in milliseconds while a task of the worker is in a phase other than `run`. */
const transitionPollIntervalMs = 100;
const callTimeoutMs = 1_000;
const tickIntervalMs = 100;
/** Consecutive reads of the instance list without the worker before it is considered gone. */
const missedReadsLimit = 2;

interface TrackedWorker {
  listed: ListedInstance;
  /** Reads of the instance list since the worker was last in it. */
  missedReads: number;
  isReachable: boolean;
  isCallInProgress: boolean;
  /** Monotonic milliseconds at which the next call is due. */
  nextCallAt: number;
  observation: WorkerObservation;
}

/** Source of the current plan, from which assignments are derived. */
export interface PlanSource {
  readonly current: Plan;
}

/** Sends the workers of one data centre their assignments from the plan and collects reports. */
export class WorkerGateway implements Disposable {
  private readonly trackedWorkers = new Map<string, TrackedWorker>();

  private readonly reported = new Emitter<string>();

  /** Fires with the identifier of a worker whose reported task states have changed. */
  public readonly onReport: Event<string> = this.reported.event;

  private timer: NodeJS.Timeout | undefined;

  /** Wall-clock milliseconds at which the gateway was last activated. */
  private activeSince = 0;

  private plannedTasks = new Map<string, PlannedTask[]>();

  private plannedRevision = -1;

  private tickObservations: Observations | undefined;

  public constructor(
    private readonly client: WorkerClient,
    private readonly plans: PlanSource,
    private readonly clock: Clock,
    private readonly dataCentre: string,
  ) {}

  public get isActive(): boolean {
    return this.timer !== undefined;
  }

  /** Starts polling the workers, without observations from an earlier activation. */
  public activate(): void {
    if (this.timer !== undefined) {
      return;
    }
    this.activeSince = this.clock.wall();
    this.trackedWorkers.forEach((worker) => {
      worker.nextCallAt = 0;
      worker.observation = createInitialObservation(worker.listed.id, this.activeSince);
    });
    this.timer = setInterval(() => this.tick(), tickIntervalMs);
    this.tick();
  }

  /** Stops polling the workers. */
  public deactivate(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Calls every worker whose tasks differ from the previous plan, without waiting for its poll. */
  public callChangedWorkers(): void {
    const before = this.plannedTasks;
    this.refreshPlannedTasks();
    this.trackedWorkers.forEach((worker, id) => {
      if (taskSignatureOf(before.get(id)) !== taskSignatureOf(this.plannedTasks.get(id))) {
        worker.nextCallAt = 0;
      }
    });
    if (this.isActive) {
      this.tick();
    }
  }

  public updateListed(listed: readonly ListedInstance[]): void {
    const own = listed.filter(
      (row) => row.role === InstanceRole.worker && row.dataCentre === this.dataCentre,
    );
    const ids = new Set(own.map((row) => row.id));
    this.trackedWorkers.forEach((worker, id) => {
      worker.missedReads = ids.has(id) ? 0 : worker.missedReads + 1;
      worker.observation = { ...worker.observation, isGone: this.isGone(worker) };
    });
    this.removeGone();
    own.forEach((row) => {
      const known = this.trackedWorkers.get(row.id);
      if (known === undefined) {
        this.trackedWorkers.set(row.id, createTrackedWorker(row, this.activeSince));
      } else {
        known.listed = row;
      }
    });
  }

  /** Number of tracked workers. */
  public get size(): number {
    return this.trackedWorkers.size;
  }

  /** Listed workers, as input for the scheduler. */
  public get workers(): WorkerView[] {
    return [...this.trackedWorkers.values()]
      .filter((worker) => worker.missedReads < missedReadsLimit)
      .map((worker) => ({
        id: worker.listed.id,
        rack: worker.listed.rack ?? '',
        accelerators: worker.listed.accelerators ?? 0,
        isUsable: worker.isReachable && worker.listed.state === ListedState.live,
      }));
  }

  public get observations(): Observations {
    return new Map([...this.trackedWorkers].map(([id, worker]) => [id, worker.observation]));
  }

  /** Whether every tracked worker has reported or been called since the activation. */
  public get hasContactedAll(): boolean {
    return [...this.trackedWorkers.values()].every(
      (worker) => worker.observation.planRevision >= 0 || worker.nextCallAt > 0,
    );
  }

  public [Symbol.dispose](): void {
    this.deactivate();
    this.reported[Symbol.dispose]();
  }

  private tick(): void {
    this.tickObservations = undefined;
    this.refreshPlannedTasks();
    const now = this.clock.monotonic();
    this.trackedWorkers.forEach((worker) => {
      if (!worker.isCallInProgress && worker.nextCallAt <= now) {
        this.call(worker).catch((error: unknown) => {
          throw error;
        });
      }
    });
  }

  /** Observations of all workers, computed once per tick and shared by its calls. */
  private get currentObservations(): Observations {
    this.tickObservations ??= new Map(
      [...this.trackedWorkers].map(([id, worker]) => [id, worker.observation]),
    );
    return this.tickObservations;
  }

  private refreshPlannedTasks(): void {
    const plan = this.plans.current;
    if (plan.revision !== this.plannedRevision) {
      this.plannedTasks = assignmentsOf(plan);
      this.plannedRevision = plan.revision;
    }
  }

  private async call(worker: TrackedWorker): Promise<void> {
    worker.isCallInProgress = true;
    const assignment = this.createAssignment(worker.listed.id);
    const startedAt = this.clock.monotonic();
    worker.nextCallAt = startedAt + this.pollIntervalOf(worker.listed.id);
    const deadline = startedAt + callTimeoutMs;
    const report = await this.client.assign(worker.listed.address, assignment, deadline);
    worker.isCallInProgress = false;
    report.match(
      (value) => this.applyReport(worker, value),
      () => {
        worker.isReachable = false;
        worker.nextCallAt = Math.max(
          worker.nextCallAt,
          this.clock.monotonic() + transitionPollIntervalMs,
        );
      },
    );
  }

  private applyReport(worker: TrackedWorker, report: WorkerReport): void {
    // The address may have been reassigned to another worker.
    if (report.workerId !== worker.listed.id) {
      worker.isReachable = false;
      return;
    }
    const before = observationSignatureOf(worker.observation);
    if (worker.observation.planRevision < 0 && this.plannedTasks.has(report.workerId)) {
      // Leases can be renewed only after the first report; after a leader change they may be about
      // to expire.
      worker.nextCallAt = 0;
    }
    worker.isReachable = true;
    worker.observation = {
      workerId: report.workerId,
      planRevision: report.planRevision,
      reportedAt: this.clock.wall(),
      isGone: false,
      tasks: new Map(report.tasks.map((task) => [task.attemptId, task])),
    };
    if (before !== observationSignatureOf(worker.observation)) {
      this.reported.fire(report.workerId);
    }
  }

  private createAssignment(workerId: string): WorkerAssignment {
    const now = this.clock.wall();
    const tasks = (this.plannedTasks.get(workerId) ?? []).map((task) =>
      this.toAssignment(task, now),
    );
    return { planRevision: this.plannedRevision, tasks };
  }

  private toAssignment(task: PlannedTask, now: number): TaskAssignment {
    const { attempt } = task;
    return {
      attemptId: attempt.id,
      jobId: attempt.jobId,
      accelerators: task.accelerators,
      phase: task.phase,
      leaseUntil: this.leaseUntilOf(attempt, now),
      stopBy: attempt.stopBy,
      resumeFromMs: attempt.resumeFromMs,
    };
  }

  private leaseUntilOf(attempt: Attempt, now: number): number {
    return isRenewable(attempt, this.currentObservations, now - workerTimeoutMs)
      ? now + taskLeaseMs
      : 0;
  }

  private pollIntervalOf(workerId: string): number {
    const tasks = this.plannedTasks.get(workerId);
    if (tasks === undefined) {
      return idlePollIntervalMs;
    }
    return tasks.some((task) => task.phase !== 'run')
      ? transitionPollIntervalMs
      : busyPollIntervalMs;
  }

  // The scheduler needs the observation of a gone worker until the plan no longer refers to it.
  private removeGone(): void {
    const tasks = this.plans.current.attempts.flatMap((attempt) => attempt.tasks);
    const plannedIds = new Set(tasks.map((task) => task.workerId));
    this.trackedWorkers.forEach((worker, id) => {
      if (worker.observation.isGone && !plannedIds.has(id)) {
        this.trackedWorkers.delete(id);
      }
    });
  }

  // The list may be partial, so a worker is gone only once the leases of its tasks have expired.
  private isGone(worker: TrackedWorker): boolean {
    const staleBefore = this.clock.wall() - workerTimeoutMs - taskLeaseMs;
    return worker.missedReads >= missedReadsLimit && worker.observation.reportedAt < staleBefore;
  }
}

function createTrackedWorker(listed: ListedInstance, activeSince: number): TrackedWorker {
  return {
    listed,
    missedReads: 0,
    isReachable: false,
    isCallInProgress: false,
    nextCallAt: 0,
    observation: createInitialObservation(listed.id, activeSince),
  };
}

function createInitialObservation(workerId: string, since: number): WorkerObservation {
  return { workerId, planRevision: -1, reportedAt: since, isGone: false, tasks: new Map() };
}

function taskSignatureOf(tasks: readonly PlannedTask[] | undefined): string {
  return (tasks ?? []).map((task) => `${task.attempt.id}/${task.phase}`).join();
}

function observationSignatureOf(observation: WorkerObservation): string {
  const tasks = [...observation.tasks].map(([id, task]) => `${id}/${task.state}`);
  return `${observation.planRevision < 0}/${tasks.join()}`;
}
