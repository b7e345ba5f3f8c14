import type { Result } from 'neverthrow';
import { z } from 'zod';

import type { WorkerError } from './WorkerError.js';

/** Phase of a task that is requested of a worker. */
export const TaskPhase = {
  /** Reserve the accelerators without running the task. */
  reserve: 'reserve',
  run: 'run',
  /** Write a checkpoint, then stop; at the deadline stop even without one. */
  checkpoint: 'checkpoint',
} as const;
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase];

/** One task assigned to a worker. A task that is no longer assigned is stopped immediately. */
export interface TaskAssignment {
  readonly attemptId: string;
  readonly jobId: string;
  readonly accelerators: number;
  readonly phase: TaskPhase;
  /**
   * Wall time in milliseconds until which the task may run without renewal; never shortens a lease.
   */
  readonly leaseUntil: number;
  /** Wall time in milliseconds at which a checkpointing task is stopped unconditionally. */
  readonly stopBy?: number;
  /** Progress in milliseconds from which the task resumes. */
  readonly resumeFromMs: number;
}

/** All tasks assigned to a worker under one revision of the plan. */
export interface WorkerAssignment {
  /** A worker rejects an assignment older than the newest it has accepted. */
  readonly planRevision: number;
  readonly tasks: readonly TaskAssignment[];
}

/** State of a task on a worker. */
export const TaskState = {
  /** Waiting for accelerators that are still held by another task. */
  waiting: 'waiting',
  reserved: 'reserved',
  running: 'running',
  finished: 'finished',
  failed: 'failed',
  /** Stopped by an assignment or because the lease expired. */
  stopped: 'stopped',
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

export const workerReportSchema = z.object({
  workerId: z.string(),
  /** Newest plan revision that the worker has accepted. */
  planRevision: z.number().int(),
  /** False if the assignment was rejected as outdated. */
  accepted: z.boolean(),
  accelerators: z.number().int(),
  tasks: z.array(
    z.object({
      attemptId: z.string(),
      state: z.enum(TaskState),
      /** Completed work, in milliseconds at full speed; the reported value lags. */
      progressMs: z.number(),
      /** Work saved in the last checkpoint, in the same unit. */
      checkpointMs: z.number(),
    }),
  ),
});

/** Response of a worker to an assignment. */
export type WorkerReport = z.output<typeof workerReportSchema>;

/** Client of the platform's workers. */
export interface WorkerClient {
  /**
   * Replaces the assignment of the worker at `address` and renews its leases.
   *
   * @param deadline monotonic milliseconds
   */
  assign(
    address: string,
    assignment: WorkerAssignment,
    deadline: number,
  ): Promise<Result<WorkerReport, WorkerError>>;
}
