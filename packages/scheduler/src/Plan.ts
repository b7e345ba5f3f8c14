import { Adjacency, Urgency } from '@apricothoist/config';
import { z } from 'zod';

import { AttemptState, JobState } from './charts.js';

/**
 * Shape of a gang: the number of tasks (`workers`) and the accelerators of each. Several tasks may
 * run on the same worker.
 */
export const shapeSchema = z.object({
  workers: z.number().int().positive(),
  acceleratorsPerWorker: z.number().int().positive(),
  adjacency: z.enum(Adjacency),
});
export type Shape = z.output<typeof shapeSchema>;

const jobSchema = z.object({
  /** Unique and never reused, unlike the name. */
  id: z.string(),
  name: z.string(),
  account: z.string(),
  shape: shapeSchema,
  urgency: z.enum(Urgency),
  /** Run time in milliseconds as declared by the submitter; often inaccurate. */
  declaredMs: z.number(),
  /** Wall-clock milliseconds. */
  submittedAt: z.number(),
  /** Wall-clock milliseconds by which the job should have finished. */
  finishBy: z.number().optional(),
  state: z.enum(JobState),
  /**
   * Wall-clock milliseconds since which the job has been waiting: its submission, or the end of its
   * latest attempt that started.
   */
  queuedAt: z.number(),
  attemptCount: z.number().int(),
  /** Progress saved in the last checkpoint, in milliseconds. */
  checkpointMs: z.number(),
  /** Total progress of all attempts, including lost work, in milliseconds. */
  attainedMs: z.number(),
  /** Workers on which a task of this job failed. */
  failedWorkers: z.array(z.string()),
  finishedAt: z.number().optional(),
  /** Latest scheduling decision about the job, shown to operators. */
  reason: z.string(),
});
export type Job = z.output<typeof jobSchema>;

const taskSchema = z.object({
  workerId: z.string(),
  accelerators: z.number().int(),
  /** True once the worker has reported, or it is otherwise certain, that the task is not running. */
  isStopped: z.boolean(),
  isFinished: z.boolean(),
});
export type PlacedTask = z.output<typeof taskSchema>;

const attemptSchema = z.object({
  id: z.string(),
  jobId: z.string(),
  account: z.string(),
  number: z.number().int(),
  state: z.enum(AttemptState),
  tasks: z.array(taskSchema),
  /** Name of the guarantee of which this attempt uses a unit; absent for a borrower. */
  guarantee: z.string().optional(),
  urgency: z.enum(Urgency),
  /** Wall-clock milliseconds by which all workers must have reserved their tasks. */
  reserveBy: z.number(),
  startedAt: z.number().optional(),
  /** Wall-clock milliseconds at which a checkpointing attempt is stopped unconditionally. */
  stopBy: z.number().optional(),
  /** Plan revision that set the attempt to running. */
  runRevision: z.number().int().optional(),
  /** Plan revision that removed the attempt from its workers. */
  releaseRevision: z.number().int().optional(),
  releasedAt: z.number().optional(),
  resumeFromMs: z.number(),
  progressMs: z.number(),
  checkpointMs: z.number(),
  /** Job event to apply when the attempt has ended. */
  outcome: z.enum(['requeue', 'succeed', 'fail']),
});
export type Attempt = z.output<typeof attemptSchema>;

const workerRecordSchema = z.object({
  workerId: z.string(),
  /** Jobs whose tasks have failed on this worker since its last success. */
  failedJobs: z.array(z.string()),
  /** Wall-clock milliseconds before which no new task is placed on the worker. */
  quarantinedUntil: z.number(),
  quarantines: z.number().int(),
});
export type WorkerRecord = z.output<typeof workerRecordSchema>;

const estimateSchema = z.object({
  /** Account and job name, as `account/name`. */
  kind: z.string(),
  /** Moving average of ln(actual / declared) run time. */
  meanLogRatio: z.number(),
  runs: z.number().int(),
});
export type EstimateRecord = z.output<typeof estimateSchema>;

/** Scheduling state of one data centre, stored as a single value. */
export const planSchema = z.object({
  dataCentre: z.string(),
  /** Increases with every change; workers reject assignments of older revisions. */
  revision: z.number().int(),
  jobs: z.array(jobSchema),
  attempts: z.array(attemptSchema),
  workers: z.array(workerRecordSchema),
  estimates: z.array(estimateSchema),
});
export type Plan = z.output<typeof planSchema>;

/** An empty plan. */
export function createPlan(dataCentre: string): Plan {
  return { dataCentre, revision: 0, jobs: [], attempts: [], workers: [], estimates: [] };
}

/** Properties of a job that are given at submission. */
export type JobRequest = Pick<
  Job,
  'id' | 'name' | 'account' | 'shape' | 'urgency' | 'declaredMs' | 'finishBy'
>;

/** Creates a queued job. */
export function createJob(request: JobRequest, now: number): Job {
  return {
    ...request,
    submittedAt: now,
    state: JobState.queued,
    queuedAt: now,
    attemptCount: 0,
    checkpointMs: 0,
    attainedMs: 0,
    failedWorkers: [],
    reason: 'submitted',
  };
}

/** Total number of accelerators of a gang. */
export function acceleratorsOf(shape: Shape): number {
  return shape.workers * shape.acceleratorsPerWorker;
}

/** Whether a gang of shape `inner` fits into any placement of a gang of shape `outer`. */
export function fitsInside(inner: Shape, outer: Shape): boolean {
  const isAdjacent = inner.adjacency === Adjacency.any || outer.adjacency === Adjacency.rack;
  const tasksPerSlot = Math.floor(outer.acceleratorsPerWorker / inner.acceleratorsPerWorker);
  return isAdjacent && tasksPerSlot * outer.workers >= inner.workers;
}
