import type {
  TaskAssignment,
  WorkerAssignment,
  WorkerReport,
  TaskPhase,
} from '@apricothoist/platform';
import { TaskState } from '@apricothoist/platform';

/** How the tasks of a worker behave. Times in milliseconds. */
export interface WorkerBehaviour {
  /** Work of a job, as its duration at full speed. */
  runMs: (jobId: string) => number;
  /** Duration of a checkpoint. */
  checkpointMs: number;
  /** Whether every task fails as soon as it is running. */
  isFailing: () => boolean;
}

/** Period in which a task ran, in wall milliseconds; `endedAt` is undefined while it runs. */
export interface RunRecord {
  readonly workerId: string;
  readonly jobId: string;
  readonly attemptId: string;
  readonly startedAt: number;
  endedAt: number | undefined;
}

interface WorkerTask {
  readonly assignment: TaskAssignment;
  state: TaskState;
  leaseUntil: number;
  startedAt: number;
  /** Wall milliseconds at which a checkpointing task stops; Infinity otherwise. */
  stopAt: number;
  progressMs: number;
  checkpointMs: number;
  run: RunRecord | undefined;
}

/** Fake worker whose time advances only by the `now` that callers pass (wall milliseconds). */
export class WorkerModel {
  public readonly runs: RunRecord[] = [];

  private planRevision = -1;

  private readonly tasks = new Map<string, WorkerTask>();

  public constructor(
    public readonly id: string,
    private readonly accelerators: number,
    private readonly behaviour: WorkerBehaviour,
  ) {}

  /** Applies an assignment unless its plan revision is older than the last accepted one. */
  public assign(assignment: WorkerAssignment, now: number): WorkerReport {
    this.advance(now);
    const accepted = assignment.planRevision >= this.planRevision;
    if (accepted) {
      this.planRevision = assignment.planRevision;
      this.removeUnassigned(assignment, now);
      assignment.tasks.forEach((task) => this.applyAssignment(task, now));
    }
    return this.report(accepted);
  }

  /** Returns the report for the current state. */
  public read(now: number): WorkerReport {
    this.advance(now);
    return this.report(true);
  }

  /** Advances the time: tasks finish, fail, checkpoint, or stop when their lease expires. */
  public advance(now: number): void {
    this.tasks.forEach((task) => {
      if (task.state === TaskState.running) {
        this.advanceRunning(task, now);
      }
    });
    this.tasks.forEach((task) => this.reserveIfFree(task));
  }

  /** Discards all tasks and the plan revision, as a restart of the machine does. */
  public restart(now: number): void {
    this.tasks.forEach((task) => endTask(task, TaskState.stopped, now));
    this.tasks.clear();
    this.planRevision = -1;
  }

  private removeUnassigned(assignment: WorkerAssignment, now: number): void {
    const assignedIds = new Set(assignment.tasks.map((task) => task.attemptId));
    this.tasks.forEach((task, attemptId) => {
      if (!assignedIds.has(attemptId)) {
        endTask(task, TaskState.stopped, now);
        this.tasks.delete(attemptId);
      }
    });
    this.tasks.forEach((task) => this.reserveIfFree(task));
  }

  private applyAssignment(assignment: TaskAssignment, now: number): void {
    const existing = this.tasks.get(assignment.attemptId);
    const handlers: Record<TaskPhase, () => void> = {
      reserve: () => existing ?? this.reserve(assignment),
      run: () => existing && this.startOrRenew(existing, assignment, now),
      checkpoint: () => existing && this.checkpoint(existing, assignment, now),
    };
    handlers[assignment.phase]();
  }

  private reserve(assignment: TaskAssignment): void {
    const task: WorkerTask = {
      assignment,
      state: TaskState.waiting,
      leaseUntil: 0,
      startedAt: 0,
      stopAt: Infinity,
      progressMs: assignment.resumeFromMs,
      checkpointMs: assignment.resumeFromMs,
      run: undefined,
    };
    this.tasks.set(assignment.attemptId, task);
    this.reserveIfFree(task);
  }

  private reserveIfFree(task: WorkerTask): void {
    const isWaiting = task.state === TaskState.waiting;
    if (
      isWaiting &&
      this.allocatedAccelerators() + task.assignment.accelerators <= this.accelerators
    ) {
      task.state = TaskState.reserved;
    }
  }

  private startOrRenew(task: WorkerTask, assignment: TaskAssignment, now: number): void {
    if (task.state === TaskState.reserved && assignment.leaseUntil > now) {
      task.state = TaskState.running;
      task.startedAt = now;
      const { attemptId, jobId } = assignment;
      task.run = { workerId: this.id, jobId, attemptId, startedAt: now, endedAt: undefined };
      this.runs.push(task.run);
    }
    task.leaseUntil = Math.max(task.leaseUntil, assignment.leaseUntil);
  }

  private checkpoint(task: WorkerTask, assignment: TaskAssignment, now: number): void {
    if (task.state === TaskState.reserved || task.state === TaskState.waiting) {
      endTask(task, TaskState.stopped, now);
      return;
    }
    const stopBy = assignment.stopBy ?? now;
    const stopAt = Math.min(stopBy, now + this.behaviour.checkpointMs);
    task.stopAt = Math.min(task.stopAt, stopAt);
  }

  private advanceRunning(task: WorkerTask, now: number): void {
    const finishedAt =
      task.startedAt + this.behaviour.runMs(task.assignment.jobId) - task.assignment.resumeFromMs;
    const ranUntil = Math.min(now, task.leaseUntil, task.stopAt, finishedAt);
    task.progressMs = task.assignment.resumeFromMs + Math.max(0, ranUntil - task.startedAt);
    if (this.behaviour.isFailing()) {
      endTask(task, TaskState.failed, now);
    } else if (ranUntil === finishedAt && finishedAt <= now) {
      endTask(task, TaskState.finished, finishedAt);
    } else if (task.stopAt <= now && task.stopAt <= task.leaseUntil) {
      task.checkpointMs = task.progressMs;
      endTask(task, TaskState.stopped, task.stopAt);
    } else if (task.leaseUntil <= now) {
      endTask(task, TaskState.stopped, task.leaseUntil);
    }
  }

  private allocatedAccelerators(): number {
    return [...this.tasks.values()]
      .filter((task) => task.state === TaskState.reserved || task.state === TaskState.running)
      .reduce((sum, task) => sum + task.assignment.accelerators, 0);
  }

  private report(accepted: boolean): WorkerReport {
    return {
      workerId: this.id,
      planRevision: this.planRevision,
      accepted,
      accelerators: this.accelerators,
      tasks: [...this.tasks].map(([attemptId, { state, progressMs, checkpointMs }]) => ({
        attemptId,
        state,
        progressMs,
        checkpointMs,
      })),
    };
  }
}

function endTask(task: WorkerTask, state: TaskState, at: number): void {
  task.state = state;
  if (task.run !== undefined && task.run.endedAt === undefined) {
    task.run.endedAt = at;
  }
}
