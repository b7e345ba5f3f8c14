import { AttemptEvent, AttemptState, JobEvent, JobState } from './charts.js';
import { updateEstimate, kindOf } from './Estimator.js';
import type { Attempt, PlacedTask } from './Plan.js';
import type { PlanDraft } from './PlanDraft.js';
import { recordFailure, recordSuccess } from './WorkerHistory.js';

/** State of a task as reported by a worker; the values are those of the worker protocol. */
export type ObservedState =
  'waiting' | 'reserved' | 'running' | 'finished' | 'failed' | 'stopped' | 'absent';

/** Latest report of a worker about one task. */
export interface TaskObservation {
  readonly state: ObservedState;
  readonly progressMs: number;
  readonly checkpointMs: number;
}

/** Latest known state of one worker. */
export interface WorkerObservation {
  readonly workerId: string;
  /** Latest plan revision that the worker has accepted; -1 before its first report. */
  readonly planRevision: number;
  /** Wall-clock milliseconds of its last report. */
  readonly reportedAt: number;
  /** True if the platform reports that the worker no longer exists. */
  readonly isGone: boolean;
  readonly tasks: ReadonlyMap<string, TaskObservation>;
}

export type Observations = ReadonlyMap<string, WorkerObservation>;

/** Time and revision limits for `observe`. Times are wall-clock milliseconds. */
export interface ObservationLimits {
  readonly now: number;
  /** Reports older than this do not prove that a task is still running. */
  readonly staleBefore: number;
  /**
   * Plan revision that every instance has reached; all leases granted by any instance under older
   * revisions expired before `now`.
   */
  readonly fencedRevision: number;
  /** For attempts released before this time, every lease granted by any instance has expired. */
  readonly releasedBefore: number;
}

/** Distinct failed workers after which the failure is attributed to the job itself. */
const failedWorkersUntilJobFails = 3;
/** Attempts after which a failing job is not retried, on however many workers it failed. */
const maxFailedAttempts = 6;
const absent: TaskObservation = { state: 'absent', progressMs: 0, checkpointMs: 0 };

/** Advances attempts and jobs according to the reports of the workers. */
export function observe(
  draft: PlanDraft,
  observations: Observations,
  limits: ObservationLimits,
): void {
  draft.attempts.forEach((attempt) => {
    recordProgress(draft, attempt, observations);
    handlers[attempt.state](draft, attempt.id, observations, limits);
    const current = draft.attempt(attempt.id);
    if (current?.state === AttemptState.over && attempt.state !== AttemptState.over) {
      finalizeAttempt(draft, current, limits.now);
    }
  });
}

type Handler = (
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  limits: ObservationLimits,
) => void;

const handlers: Record<AttemptState, Handler> = {
  placing: observePlacing,
  running: observeRunning,
  checkpointing: observeCheckpointing,
  releasing: observeReleasing,
  over: () => {},
};

function observePlacing(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  limits: ObservationLimits,
): void {
  const attempt = requireAttempt(draft, attemptId);
  const states = attempt.tasks.map((task) => stateOf(task, attempt, observations).state);
  if (states.every((state) => state === 'reserved')) {
    const patch = { startedAt: limits.now, runRevision: draft.revision };
    draft.advanceAttempt(attemptId, AttemptEvent.reserved, patch);
    return;
  }
  const hasLostWorker = attempt.tasks.some((task) => isGone(task, observations));
  if (hasLostWorker || limits.now >= attempt.reserveBy) {
    releaseAttempt(draft, attempt, AttemptEvent.missed, limits.now);
  }
}

function observeRunning(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  limits: ObservationLimits,
): void {
  if (recordEnd(draft, attemptId, observations, limits.now)) {
    return;
  }
  const attempt = requireAttempt(draft, attemptId);
  const isLost = attempt.tasks.some((task) => isTaskLost(task, attempt, observations, limits));
  if (isLost) {
    releaseAttempt(draft, attempt, AttemptEvent.lost, limits.now);
  }
}

function observeCheckpointing(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  limits: ObservationLimits,
): void {
  if (recordEnd(draft, attemptId, observations, limits.now)) {
    return;
  }
  const attempt = requireAttempt(draft, attemptId);
  const hasStopped = attempt.tasks.every(
    (task) => task.isFinished || stateOf(task, attempt, observations).state === 'stopped',
  );
  if (hasStopped) {
    draft.advanceAttempt(attemptId, AttemptEvent.stopped);
  } else if (limits.now >= (attempt.stopBy ?? 0)) {
    releaseAttempt(draft, attempt, AttemptEvent.expired, limits.now);
  }
}

// Records failed and finished tasks. Returns true if all tasks have finished or one has failed.
function recordEnd(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  now: number,
): boolean {
  if (recordTaskFailures(draft, requireAttempt(draft, attemptId), observations, now)) {
    return true;
  }
  const tasks = markFinished(draft, requireAttempt(draft, attemptId), observations);
  const isFinished = tasks.every((task) => task.isFinished);
  if (isFinished) {
    draft.advanceAttempt(attemptId, AttemptEvent.finished, { outcome: 'succeed' });
  }
  return isFinished;
}

// A task counts as stopped when its worker has accepted a plan revision that no longer contains the
// attempt, or when every lease for it must have expired. A worker that the lists lack may be at work.
function observeReleasing(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  limits: ObservationLimits,
): void {
  const attempt = requireAttempt(draft, attemptId);
  const releaseRevision = attempt.releaseRevision ?? 0;
  const isFenced =
    limits.fencedRevision >= releaseRevision || (attempt.releasedAt ?? 0) < limits.releasedBefore;
  const tasks = attempt.tasks.map((task) => {
    const worker = observations.get(task.workerId);
    const hasAccepted = worker !== undefined && worker.planRevision >= releaseRevision;
    const isStopped = task.isStopped || isFenced || hasAccepted;
    return isStopped === task.isStopped ? task : { ...task, isStopped };
  });
  if (tasks.some((task, index) => task !== attempt.tasks[index])) {
    draft.updateAttempt(attemptId, { tasks });
  }
  if (tasks.every((task) => task.isStopped)) {
    draft.advanceAttempt(attemptId, AttemptEvent.stopped);
  }
}

/**
 * Removes an attempt from its workers. Once no task can be running, the job is requeued or ended
 * according to the outcome of the attempt.
 */
export function releaseAttempt(
  draft: PlanDraft,
  attempt: Attempt,
  event: AttemptEvent,
  now: number,
): boolean {
  const patch = { releaseRevision: draft.revision, releasedAt: now };
  return draft.advanceAttempt(attempt.id, event, patch);
}

function finalizeAttempt(draft: PlanDraft, attempt: Attempt, now: number): void {
  const job = draft.job(attempt.jobId);
  if (job === undefined) {
    return;
  }
  const attainedMs = job.attainedMs + attempt.progressMs - attempt.resumeFromMs;
  const checkpointMs = Math.max(job.checkpointMs, attempt.checkpointMs);
  const finalizers = {
    succeed: (): void => {
      draft.setEstimate(updateEstimate(job, attempt.progressMs, draft.estimates.get(kindOf(job))));
      const patch = { attainedMs, finishedAt: now, reason: 'all tasks finished' };
      draft.advanceJob(job.id, JobEvent.succeed, patch);
      attempt.tasks.forEach((task) => clearFailures(draft, task.workerId));
    },
    requeue: (): void => {
      const isCancelling = job.state === JobState.cancelling;
      const finished = isCancelling ? { finishedAt: now, reason: 'cancelled' } : {};
      // An attempt that never ran does not reset the time in the queue.
      const queuedAt = attempt.startedAt === undefined ? job.queuedAt : now;
      const patch = { attainedMs, checkpointMs, queuedAt, ...finished };
      draft.advanceJob(job.id, JobEvent.requeue, patch);
    },
    fail: (): void => {
      draft.advanceJob(job.id, JobEvent.fail, { attainedMs, finishedAt: now });
    },
  };
  finalizers[attempt.outcome]();
}

function clearFailures(draft: PlanDraft, workerId: string): void {
  const worker = draft.worker(workerId);
  if (worker.failedJobs.length > 0 || worker.quarantines > 0) {
    draft.setWorker(recordSuccess(worker));
  }
}

function recordTaskFailures(
  draft: PlanDraft,
  attempt: Attempt,
  observations: Observations,
  now: number,
): boolean {
  const failed = attempt.tasks.filter(
    (task) => stateOf(task, attempt, observations).state === 'failed',
  );
  const job = draft.job(attempt.jobId);
  if (failed.length === 0 || job === undefined) {
    return false;
  }
  failed.forEach((task) => {
    draft.setWorker(recordFailure(draft.worker(task.workerId), job.id, now));
  });
  const failedWorkers = [
    ...new Set([...job.failedWorkers, ...failed.map((task) => task.workerId)]),
  ];
  const isJobFault =
    failedWorkers.length >= failedWorkersUntilJobFails || job.attemptCount >= maxFailedAttempts;
  const reason = isJobFault
    ? `failed on ${failedWorkers.length} workers (${failedWorkers.join(', ')}); not tried again`
    : `failed on ${failed.map((task) => task.workerId).join(', ')}; tried again elsewhere`;
  draft.updateJob(job.id, { failedWorkers, reason });
  draft.updateAttempt(attempt.id, { outcome: isJobFault ? 'fail' : 'requeue' });
  releaseAttempt(draft, requireAttempt(draft, attempt.id), AttemptEvent.failed, now);
  return true;
}

function markFinished(
  draft: PlanDraft,
  attempt: Attempt,
  observations: Observations,
): readonly PlacedTask[] {
  const tasks = attempt.tasks.map((task) => {
    const isFinished = task.isFinished || stateOf(task, attempt, observations).state === 'finished';
    return isFinished === task.isFinished ? task : { ...task, isFinished };
  });
  if (tasks.some((task, index) => task !== attempt.tasks[index])) {
    draft.updateAttempt(attempt.id, { tasks });
  }
  return tasks;
}

function isTaskLost(
  task: PlacedTask,
  attempt: Attempt,
  observations: Observations,
  limits: ObservationLimits,
): boolean {
  if (task.isFinished) {
    return false;
  }
  const worker = observations.get(task.workerId);
  const lastSeenAt = Math.max(worker?.reportedAt ?? 0, attempt.startedAt ?? 0);
  if (isGone(task, observations) || lastSeenAt < limits.staleBefore) {
    return true;
  }
  const hasCurrentReport =
    worker !== undefined && worker.planRevision >= (attempt.runRevision ?? 0);
  const { state } = stateOf(task, attempt, observations);
  return hasCurrentReport && (state === 'stopped' || state === 'absent');
}

function stateOf(task: PlacedTask, attempt: Attempt, observations: Observations): TaskObservation {
  return observations.get(task.workerId)?.tasks.get(attempt.id) ?? absent;
}

function isGone(task: PlacedTask, observations: Observations): boolean {
  return observations.get(task.workerId)?.isGone === true;
}

function recordProgress(draft: PlanDraft, attempt: Attempt, observations: Observations): void {
  const reports = attempt.tasks.map((task) => stateOf(task, attempt, observations));
  // The progress of a gang is that of its slowest task. A task without a report counts as 0, which
  // leaves the recorded progress unchanged.
  const progressMs = Math.min(...reports.map((task) => task.progressMs));
  const checkpointMs = Math.min(...reports.map((task) => task.checkpointMs));
  if (progressMs > attempt.progressMs || checkpointMs > attempt.checkpointMs) {
    draft.recordProgress(
      attempt.id,
      Math.max(progressMs, attempt.progressMs),
      Math.max(checkpointMs, attempt.checkpointMs),
    );
  }
}

function requireAttempt(draft: PlanDraft, attemptId: string): Attempt {
  const attempt = draft.attempt(attemptId);
  if (attempt === undefined) {
    throw new Error(`attempt "${attemptId}" is not in the plan`);
  }
  return attempt;
}
