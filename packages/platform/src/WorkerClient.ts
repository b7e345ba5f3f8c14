import type { Result } from 'neverthrow';
import { z } from 'zod';

import type { WorkerError } from './WorkerError.js';

/** What a worker is asked to do with a task. */
export const TaskPhase = {
  /** Hold the accelerators, run nothing. */
  reserve: 'reserve',
  run: 'run',
  /** Write a checkpoint, then stop; stop without one at the deadline. */
  checkpoint: 'checkpoint',
} as const;
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase];

/** One task that a worker should hold. A task that is not assigned any more is stopped at once. */
export interface TaskAssignment {
  readonly attemptId: string;
  readonly jobId: string;
  readonly accelerators: number;
  readonly phase: TaskPhase;
  /** Wall milliseconds until which the task may run without a renewal; never shortens a lease. */
  readonly leaseUntil: number;
  /** Wall milliseconds at which a checkpointing task stops in any case. */
  readonly stopBy?: number;
  /** Progress in milliseconds to resume from. */
  readonly resumeFromMs: number;
}

/** Everything that a worker should hold, under one revision of the plan. */
export interface WorkerAssignment {
  /** A worker refuses an assignment that is older than the newest it has seen. */
  readonly planRevision: number;
  readonly tasks: readonly TaskAssignment[];
}

/** What a task on a worker does. */
export const TaskState = {
  /** Waits for accelerators that another task still holds. */
  waiting: 'waiting',
  reserved: 'reserved',
  running: 'running',
  finished: 'finished',
  failed: 'failed',
  /** Stopped by an assignment or because the lease ended. */
  stopped: 'stopped',
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

export const workerReportSchema = z.object({
  workerId: z.string(),
  /** Newest plan revision that the worker has accepted. */
  planRevision: z.number().int(),
  /** False when the assignment was refused as too old. */
  accepted: z.boolean(),
  accelerators: z.number().int(),
  tasks: z.array(
    z.object({
      attemptId: z.string(),
      state: z.enum(TaskState),
      /** Work done, in milliseconds at full speed; usage reports lag. */
      progressMs: z.number(),
      /** Work kept in the last checkpoint. */
      checkpointMs: z.number(),
    }),
  ),
});

/** A worker's answer to an assignment. */
export type WorkerReport = z.output<typeof workerReportSchema>;

/** The platform's workers. */
export interface WorkerClient {
  /**
   * Replaces what the worker at `address` should hold, and renews its leases.
   *
   * @param deadline monotonic milliseconds
   */
  assign(
    address: string,
    assignment: WorkerAssignment,
    deadline: number,
  ): Promise<Result<WorkerReport, WorkerError>>;
}
