import { Adjacency, Urgency } from '@apricothoist/config';
import { z } from 'zod';

import { AttemptState, JobState } from './charts.js';

/** A gang: so many tasks with so many accelerators each; tasks may share a worker. */
export const shapeSchema = z.object({
  workers: z.number().int().positive(),
  acceleratorsPerWorker: z.number().int().positive(),
  adjacency: z.enum(Adjacency),
});
export type Shape = z.output<typeof shapeSchema>;

const jobSchema = z.object({
  /** Never reused, unlike the name. */
  id: z.string(),
  name: z.string(),
  account: z.string(),
  shape: shapeSchema,
  urgency: z.enum(Urgency),
  /** Run time in milliseconds as declared; often far off. */
  declaredMs: z.number(),
  /** Wall milliseconds. */
  submittedAt: z.number(),
  /** Wall milliseconds by which the job should be done. */
  finishBy: z.number().optional(),
  state: z.enum(JobState),
  /** Wall milliseconds since which the job waits, or waited before its current attempt. */
  queuedAt: z.number(),
  attemptCount: z.number().int(),
  /** Work kept in the last checkpoint, in milliseconds. */
  checkpointMs: z.number(),
  /** Work that attempts have done, lost work included, in milliseconds. */
  attainedMs: z.number(),
  /** Workers on which a task of this job failed. */
  failedWorkers: z.array(z.string()),
  finishedAt: z.number().optional(),
  /** Last decision about the job, for operators. */
  reason: z.string(),
});
export type Job = z.output<typeof jobSchema>;

const taskSchema = z.object({
  workerId: z.string(),
  accelerators: z.number().int(),
  /** True once the worker has said, or it is otherwise certain, that the task does not run. */
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
  /** Guarantee whose unit this attempt uses; absent for a borrower. */
  guarantee: z.string().optional(),
  urgency: z.enum(Urgency),
  /** Wall milliseconds until which all parts must be reserved. */
  reserveBy: z.number(),
  startedAt: z.number().optional(),
  /** Wall milliseconds at which a checkpointing attempt is stopped in any case. */
  stopBy: z.number().optional(),
  /** Plan revision that made the attempt run. */
  runRevision: z.number().int().optional(),
  /** Plan revision that took the attempt off its workers. */
  releaseRevision: z.number().int().optional(),
  releasedAt: z.number().optional(),
  resumeFromMs: z.number(),
  progressMs: z.number(),
  checkpointMs: z.number(),
  /** What the job becomes when the attempt is over. */
  outcome: z.enum(['requeue', 'succeed', 'fail']),
});
export type Attempt = z.output<typeof attemptSchema>;

const workerRecordSchema = z.object({
  workerId: z.string(),
  /** Jobs whose tasks failed here since the last success. */
  failedJobs: z.array(z.string()),
  /** Wall milliseconds; no new task before. */
  quarantinedUntil: z.number(),
  quarantines: z.number().int(),
});
export type WorkerRecord = z.output<typeof workerRecordSchema>;

const estimateSchema = z.object({
  /** Account and job name. */
  kind: z.string(),
  /** Mean of ln(actual / declared) over the recent runs. */
  meanLogRatio: z.number(),
  runs: z.number().int(),
});
export type EstimateRecord = z.output<typeof estimateSchema>;

/** Everything decided for the workers of one data centre; one value in the store. */
export const planSchema = z.object({
  dataCentre: z.string(),
  /** Grows with every change; workers refuse assignments of an older one. */
  revision: z.number().int(),
  jobs: z.array(jobSchema),
  attempts: z.array(attemptSchema),
  workers: z.array(workerRecordSchema),
  estimates: z.array(estimateSchema),
});
export type Plan = z.output<typeof planSchema>;

/** The plan of a data centre where nothing has been decided yet. */
export function createPlan(dataCentre: string): Plan {
  return { dataCentre, revision: 0, jobs: [], attempts: [], workers: [], estimates: [] };
}

/** What is said about a job when it is submitted. */
export type JobRequest = Pick<
  Job,
  'id' | 'name' | 'account' | 'shape' | 'urgency' | 'declaredMs' | 'finishBy'
>;

/** A job as it enters the queue. */
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

/** Accelerators of a whole gang. */
export function acceleratorsOf(shape: Shape): number {
  return shape.workers * shape.acceleratorsPerWorker;
}

/** Whether a gang of shape `inner` can stand where one of shape `outer` can. */
export function fitsInside(inner: Shape, outer: Shape): boolean {
  const isAdjacent = inner.adjacency === Adjacency.any || outer.adjacency === Adjacency.rack;
  const tasksPerSlot = Math.floor(outer.acceleratorsPerWorker / inner.acceleratorsPerWorker);
  return isAdjacent && tasksPerSlot * outer.workers >= inner.workers;
}
