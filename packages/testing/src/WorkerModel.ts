import type {
  TaskAssignment,
  WorkerAssignment,
  WorkerReport,
  TaskPhase,
} from '@apricothoist/platform';
import { TaskState } from '@apricothoist/platform';

/** How the tasks of a worker behave. Times in milliseconds. */
export interface WorkerBehaviour {
  /** Work of the job at full speed. */
  runMs: (jobId: string) => number;
  checkpointMs: number;
  /** Whether every task fails as soon as it runs. */
  isFailing: () => boolean;
}

/** A stretch of time in which a task ran. Wall milliseconds; open while it runs. */
export interface RunRecord {
  readonly workerId: string;
  readonly jobId: string;
  readonly attemptId: string;
  readonly startedAt: number;
  endedAt: number | undefined;
}

interface Task {
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

/** Stand-in for a worker, driven by the times it is given. */
export class WorkerModel {
  public readonly runs: RunRecord[] = [];

  private planRevision = -1;

  private readonly tasks = new Map<string, Task>();

  public constructor(
    public readonly id: string,
    private readonly accelerators: number,
    private readonly behaviour: WorkerBehaviour,
  ) {}

  /** Accepts an assignment unless it is older than the newest one. */
  public assign(assignment: WorkerAssignment, now: number): WorkerReport {
    this.advance(now);
    const accepted = assignment.planRevision >= this.planRevision;
    if (accepted) {
      this.planRevision = assignment.planRevision;
      this.dropUnassigned(assignment, now);
      assignment.tasks.forEach((task) => this.take(task, now));
    }
    return this.report(accepted);
  }

  /** The report that the worker would give now. */
  public read(now: number): WorkerReport {
    this.advance(now);
    return this.report(true);
  }

  /** Lets time pass: tasks finish, fail, checkpoint, and stop when their lease ends. */
  public advance(now: number): void {
    this.tasks.forEach((task) => {
      if (task.state === TaskState.running) {
        this.advanceRunning(task, now);
      }
    });
    this.tasks.forEach((task) => this.reserveIfFree(task));
  }

  /** Loses everything, as after a restart of the machine. */
  public restart(now: number): void {
    this.tasks.forEach((task) => end(task, TaskState.stopped, now));
    this.tasks.clear();
    this.planRevision = -1;
  }

  private dropUnassigned(assignment: WorkerAssignment, now: number): void {
    const wanted = new Set(assignment.tasks.map((task) => task.attemptId));
    this.tasks.forEach((task, attemptId) => {
      if (!wanted.has(attemptId)) {
        end(task, TaskState.stopped, now);
        this.tasks.delete(attemptId);
      }
    });
    this.tasks.forEach((task) => this.reserveIfFree(task));
  }

  private take(assignment: TaskAssignment, now: number): void {
    const known = this.tasks.get(assignment.attemptId);
    const handlers: Record<TaskPhase, () => void> = {
      reserve: () => known ?? this.reserve(assignment),
      run: () => known && this.run(known, assignment, now),
      checkpoint: () => known && this.checkpoint(known, assignment, now),
    };
    handlers[assignment.phase]();
  }

  private reserve(assignment: TaskAssignment): void {
    const task: Task = {
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

  private reserveIfFree(task: Task): void {
    const isWaiting = task.state === TaskState.waiting;
    if (isWaiting && this.held() + task.assignment.accelerators <= this.accelerators) {
      task.state = TaskState.reserved;
    }
  }

  private run(task: Task, assignment: TaskAssignment, now: number): void {
    if (task.state === TaskState.reserved && assignment.leaseUntil > now) {
      task.state = TaskState.running;
      task.startedAt = now;
      const { attemptId, jobId } = assignment;
      task.run = { workerId: this.id, jobId, attemptId, startedAt: now, endedAt: undefined };
      this.runs.push(task.run);
    }
    task.leaseUntil = Math.max(task.leaseUntil, assignment.leaseUntil);
  }

  private checkpoint(task: Task, assignment: TaskAssignment, now: number): void {
    if (task.state === TaskState.reserved || task.state === TaskState.waiting) {
      end(task, TaskState.stopped, now);
      return;
    }
    const stopBy = assignment.stopBy ?? now;
    const stopAt = Math.min(stopBy, now + this.behaviour.checkpointMs);
    task.stopAt = Math.min(task.stopAt, stopAt);
  }

  private advanceRunning(task: Task, now: number): void {
    const doneAt =
      task.startedAt + this.behaviour.runMs(task.assignment.jobId) - task.assignment.resumeFromMs;
    const until = Math.min(now, task.leaseUntil, task.stopAt, doneAt);
    task.progressMs = task.assignment.resumeFromMs + Math.max(0, until - task.startedAt);
    if (this.behaviour.isFailing()) {
      end(task, TaskState.failed, now);
    } else if (until === doneAt && doneAt <= now) {
      end(task, TaskState.finished, doneAt);
    } else if (task.stopAt <= now && task.stopAt <= task.leaseUntil) {
      task.checkpointMs = task.progressMs;
      end(task, TaskState.stopped, task.stopAt);
    } else if (task.leaseUntil <= now) {
      end(task, TaskState.stopped, task.leaseUntil);
    }
  }

  private held(): number {
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

function end(task: Task, state: TaskState, at: number): void {
  task.state = state;
  if (task.run !== undefined && task.run.endedAt === undefined) {
    task.run.endedAt = at;
  }
}
