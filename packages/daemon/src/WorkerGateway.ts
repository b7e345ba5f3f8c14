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

/** Milliseconds that a task may run without a renewal. */
export const taskLeaseMs = 8_000;
/** Silence in milliseconds after which a worker's tasks count as lost. */
export const lostAfterMs = 6_000;

const busyPollMs = 2_000;
const idlePollMs = 6_000;
/** Pause in milliseconds while a task on the worker is about to change. */
const changingPollMs = 100;
const callTimeoutMs = 1_000;
const tickMs = 100;
/** Reads of the instance list without a worker before it counts as gone. */
const readsUntilGone = 2;

interface WorkerEntry {
  listed: ListedInstance;
  /** Reads of the list since it was last named. */
  missedReads: number;
  isReachable: boolean;
  isCalling: boolean;
  /** Monotonic milliseconds of the next call. */
  dueAt: number;
  observation: WorkerObservation;
}

/** Where assignments come from. */
export interface PlanSource {
  readonly current: Plan;
}

/** Keeps the workers of one data centre in line with the plan and collects their reports. */
export class WorkerGateway implements Disposable {
  private readonly entries = new Map<string, WorkerEntry>();

  private readonly reported = new Emitter<string>();

  /** Fires with the identifier of a worker whose tasks have changed. */
  public readonly onReport: Event<string> = this.reported.event;

  private timer: NodeJS.Timeout | undefined;

  /** Wall milliseconds since which this gateway has been calling workers. */
  private activeSince = 0;

  private planned = new Map<string, PlannedTask[]>();

  private plannedRevision = -1;

  private observed: Observations | undefined;

  public constructor(
    private readonly client: WorkerClient,
    private readonly plans: PlanSource,
    private readonly clock: Clock,
    private readonly dataCentre: string,
  ) {}

  public get isActive(): boolean {
    return this.timer !== undefined;
  }

  /** Starts calling the workers. */
  public activate(): void {
    if (this.timer !== undefined) {
      return;
    }
    this.activeSince = this.clock.wall();
    this.entries.forEach((entry) => {
      entry.dueAt = 0;
      entry.observation = unheard(entry.listed.id, this.activeSince);
    });
    this.timer = setInterval(() => this.tick(), tickMs);
    this.tick();
  }

  /** Stops calling the workers. */
  public deactivate(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Calls now every worker that the change of the plan concerns. */
  public push(): void {
    const before = this.planned;
    this.refreshPlanned();
    this.entries.forEach((entry, id) => {
      if (describeTasks(before.get(id)) !== describeTasks(this.planned.get(id))) {
        entry.dueAt = 0;
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
    this.entries.forEach((entry, id) => {
      entry.missedReads = ids.has(id) ? 0 : entry.missedReads + 1;
      entry.observation = { ...entry.observation, isGone: this.isGone(entry) };
    });
    this.forgetGone();
    own.forEach((row) => {
      const known = this.entries.get(row.id);
      if (known === undefined) {
        this.entries.set(row.id, createEntry(row, this.activeSince));
      } else {
        known.listed = row;
      }
    });
  }

  /** Workers that are called or waited for. */
  public get size(): number {
    return this.entries.size;
  }

  /** The workers as the scheduler sees them. */
  public get workers(): WorkerView[] {
    return [...this.entries.values()]
      .filter((entry) => entry.missedReads < readsUntilGone)
      .map((entry) => ({
        id: entry.listed.id,
        rack: entry.listed.rack ?? '',
        accelerators: entry.listed.accelerators ?? 0,
        isUsable: entry.isReachable && entry.listed.state === ListedState.live,
      }));
  }

  public get observations(): Observations {
    return new Map([...this.entries].map(([id, entry]) => [id, entry.observation]));
  }

  /** Whether every listed worker has answered or failed to since the activation. */
  public get hasHeardAll(): boolean {
    return [...this.entries.values()].every(
      (entry) => entry.observation.planRevision >= 0 || entry.dueAt > 0,
    );
  }

  public [Symbol.dispose](): void {
    this.deactivate();
    this.reported[Symbol.dispose]();
  }

  private tick(): void {
    this.observed = undefined;
    this.refreshPlanned();
    const now = this.clock.monotonic();
    this.entries.forEach((entry) => {
      if (!entry.isCalling && entry.dueAt <= now) {
        this.call(entry).catch((error: unknown) => {
          throw error;
        });
      }
    });
  }

  /** What is known of all workers, put together once for all calls of one turn. */
  private get currentObservations(): Observations {
    this.observed ??= new Map([...this.entries].map(([id, entry]) => [id, entry.observation]));
    return this.observed;
  }

  private refreshPlanned(): void {
    const plan = this.plans.current;
    if (plan.revision !== this.plannedRevision) {
      this.planned = assignmentsOf(plan);
      this.plannedRevision = plan.revision;
    }
  }

  private async call(entry: WorkerEntry): Promise<void> {
    entry.isCalling = true;
    const assignment = this.createAssignment(entry.listed.id);
    const startedAt = this.clock.monotonic();
    entry.dueAt = startedAt + this.pauseFor(entry.listed.id);
    const deadline = startedAt + callTimeoutMs;
    const report = await this.client.assign(entry.listed.address, assignment, deadline);
    entry.isCalling = false;
    report.match(
      (value) => this.take(entry, value),
      () => {
        entry.isReachable = false;
        entry.dueAt = Math.max(entry.dueAt, this.clock.monotonic() + changingPollMs);
      },
    );
  }

  private take(entry: WorkerEntry, report: WorkerReport): void {
    // Another worker may have taken over the address.
    if (report.workerId !== entry.listed.id) {
      entry.isReachable = false;
      return;
    }
    const before = describeObservation(entry.observation);
    if (entry.observation.planRevision < 0 && this.planned.has(report.workerId)) {
      // The first report allows a renewal, which may be urgent after a take-over.
      entry.dueAt = 0;
    }
    entry.isReachable = true;
    entry.observation = {
      workerId: report.workerId,
      planRevision: report.planRevision,
      reportedAt: this.clock.wall(),
      isGone: false,
      tasks: new Map(report.tasks.map((task) => [task.attemptId, task])),
    };
    if (before !== describeObservation(entry.observation)) {
      this.reported.fire(report.workerId);
    }
  }

  private createAssignment(workerId: string): WorkerAssignment {
    const now = this.clock.wall();
    const tasks = (this.planned.get(workerId) ?? []).map((task) => this.toAssignment(task, now));
    return { planRevision: this.plannedRevision, tasks };
  }

  private toAssignment(task: PlannedTask, now: number): TaskAssignment {
    const { attempt } = task;
    return {
      attemptId: attempt.id,
      jobId: attempt.jobId,
      accelerators: task.accelerators,
      phase: task.phase,
      leaseUntil: this.leaseFor(attempt, now),
      stopBy: attempt.stopBy,
      resumeFromMs: attempt.resumeFromMs,
    };
  }

  private leaseFor(attempt: Attempt, now: number): number {
    return isRenewable(attempt, this.currentObservations, now - lostAfterMs)
      ? now + taskLeaseMs
      : 0;
  }

  private pauseFor(workerId: string): number {
    const tasks = this.planned.get(workerId);
    if (tasks === undefined) {
      return idlePollMs;
    }
    return tasks.some((task) => task.phase !== 'run') ? changingPollMs : busyPollMs;
  }

  // A worker that is gone is needed only while the plan still has to learn that.
  private forgetGone(): void {
    const tasks = this.plans.current.attempts.flatMap((attempt) => attempt.tasks);
    const named = new Set(tasks.map((task) => task.workerId));
    this.entries.forEach((entry, id) => {
      if (entry.observation.isGone && !named.has(id)) {
        this.entries.delete(id);
      }
    });
  }

  private isGone(entry: WorkerEntry): boolean {
    const silentBefore = this.clock.wall() - lostAfterMs;
    return entry.missedReads >= readsUntilGone && entry.observation.reportedAt < silentBefore;
  }
}

function createEntry(listed: ListedInstance, activeSince: number): WorkerEntry {
  return {
    listed,
    missedReads: 0,
    isReachable: false,
    isCalling: false,
    dueAt: 0,
    observation: unheard(listed.id, activeSince),
  };
}

function unheard(workerId: string, since: number): WorkerObservation {
  return { workerId, planRevision: -1, reportedAt: since, isGone: false, tasks: new Map() };
}

function describeTasks(tasks: readonly PlannedTask[] | undefined): string {
  return (tasks ?? []).map((task) => `${task.attempt.id}/${task.phase}`).join();
}

function describeObservation(observation: WorkerObservation): string {
  const tasks = [...observation.tasks].map(([id, task]) => `${id}/${task.state}`);
  return `${observation.planRevision < 0}/${tasks.join()}`;
}
