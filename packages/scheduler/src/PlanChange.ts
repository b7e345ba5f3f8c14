import type { Configuration } from '@apricothoist/config';
import { Adjacency } from '@apricothoist/config';

import { AttemptEvent, AttemptState, JobEvent, JobState } from './charts.js';
import { releaseAttempt } from './observe.js';
import type { Job, Plan } from './Plan.js';
import { acceleratorsOf } from './Plan.js';
import { PlanDraft } from './PlanDraft.js';

export const PlanChangeKind = { submit: 'submit', cancel: 'cancel' } as const;
export type PlanChangeKind = (typeof PlanChangeKind)[keyof typeof PlanChangeKind];

/** A change requested by an operator. Applying it is idempotent. */
export type PlanChange =
  | { readonly kind: typeof PlanChangeKind.submit; readonly job: Job }
  | { readonly kind: typeof PlanChangeKind.cancel; readonly jobId: string };

/** Applies a batch of changes. Returns undefined if none of them has an effect. */
export function applyChanges(
  plan: Plan,
  changes: readonly PlanChange[],
  now: number,
): Plan | undefined {
  const draft = new PlanDraft(plan);
  changes.forEach((change) => {
    if (change.kind === PlanChangeKind.submit) {
      submit(draft, change.job);
    } else {
      cancel(draft, change.jobId, now);
    }
  });
  return draft.finish();
}

function submit(draft: PlanDraft, job: Job): void {
  if (draft.job(job.id) === undefined) {
    draft.addJob(job);
  }
}

function cancel(draft: PlanDraft, jobId: string, now: number): void {
  const job = draft.job(jobId);
  if (job === undefined) {
    return;
  }
  const finished = job.state === JobState.queued ? { finishedAt: now } : {};
  draft.advanceJob(jobId, JobEvent.cancel, { reason: 'cancelled', ...finished });
  draft.attempts
    .filter((attempt) => attempt.jobId === jobId && attempt.state !== AttemptState.over)
    .forEach((attempt) => releaseAttempt(draft, attempt, AttemptEvent.cancelled, now));
}

/** Reason why the job can never run under this configuration, or undefined if it can. */
export function findInfeasibilityReason(
  job: Job,
  configuration: Configuration,
  dataCentre: string,
): string | undefined {
  const account = configuration.account[job.account];
  if (account === undefined) {
    return `account "${job.account}" is not configured`;
  }
  const pool = configuration.workers[dataCentre];
  if (pool === undefined) {
    return `data centre "${dataCentre}" has no workers`;
  }
  const { shape } = job;
  if (shape.acceleratorsPerWorker > pool.accelerators) {
    return `a task wants ${shape.acceleratorsPerWorker} accelerators, a worker has ${pool.accelerators}`;
  }
  const workers = shape.adjacency === Adjacency.rack ? pool['workers-per-rack'] : pool.count;
  const maxTasks = workers * Math.floor(pool.accelerators / shape.acceleratorsPerWorker);
  if (shape.workers > maxTasks) {
    return `the gang has ${shape.workers} tasks, at most ${maxTasks} can stand together`;
  }
  const limit = account['accelerator-limit'];
  return acceleratorsOf(shape) > limit
    ? `the gang wants ${acceleratorsOf(shape)} accelerators, the account may hold ${limit}`
    : undefined;
}
