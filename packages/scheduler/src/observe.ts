import { AttemptEvent, AttemptState, JobEvent, JobState } from './charts.js';
import { learn, kindOf } from './Estimator.js';
import type { Attempt, PlacedTask } from './Plan.js';
import type { PlanDraft } from './PlanDraft.js';
import { recordFailure, recordSuccess } from './WorkerHistory.js';

/** What a task on a worker does; the same words as in the workers' protocol. */
export type ObservedState =
  'waiting' | 'reserved' | 'running' | 'finished' | 'failed' | 'stopped' | 'absent';

/** What a worker last said about one task. */
export interface TaskObservation {
  readonly state: ObservedState;
  readonly progressMs: number;
  readonly checkpointMs: number;
}

/** What is known about one worker. */
export interface WorkerObservation {
  readonly workerId: string;
  /** Newest plan revision that the worker has accepted; -1 before its first report. */
  readonly planRevision: number;
  /** Wall milliseconds of its last report. */
  readonly reportedAt: number;
  /** True when the platform says that the worker no longer exists. */
  readonly isGone: boolean;
  readonly tasks: ReadonlyMap<string, TaskObservation>;
}

export type Observations = ReadonlyMap<string, WorkerObservation>;

/** What `observe` needs besides the plan and the reports. Times are wall milliseconds. */
export interface ObservationLimits {
  readonly now: number;
  /** Reports older than this are no evidence that a task still runs. */
  readonly silentBefore: number;
  /**
   * Plan revision that no instance is behind any more; leases granted under older revisions by
   * any instance ended before `now`.
   */
  readonly fencedRevision: number;
  /** Attempts released before this have outlived every lease, whoever granted it. */
  readonly releasedBefore: number;
}

/** Failed workers after which the fault is taken to be the job's own. */
const failedWorkersUntilJobFails = 3;
/** Attempts after which a job that keeps failing is given up, wherever it failed. */
const maxFailedAttempts = 6;
const absent: TaskObservation = { state: 'absent', progressMs: 0, checkpointMs: 0 };

/** Advances attempts and jobs by what the workers have reported. */
export function observe(
  draft: PlanDraft,
  observations: Observations,
  limits: ObservationLimits,
): void {
  draft.attempts.forEach((attempt) => {
    noteProgress(draft, attempt, observations);
    handlers[attempt.state](draft, attempt.id, observations, limits);
    const current = draft.attempt(attempt.id);
    if (current?.state === AttemptState.over && attempt.state !== AttemptState.over) {
      closeAttempt(draft, current, limits.now);
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
  const attempt = required(draft, attemptId);
  const states = attempt.tasks.map((task) => stateOf(task, attempt, observations).state);
  if (states.every((state) => state === 'reserved')) {
    const patch = { startedAt: limits.now, runRevision: draft.revision };
    draft.advanceAttempt(attemptId, AttemptEvent.reserved, patch);
    return;
  }
  const isMissing = attempt.tasks.some((task) => isGone(task, observations));
  if (isMissing || limits.now >= attempt.reserveBy) {
    leave(draft, attempt, AttemptEvent.missed, limits.now);
  }
}

function observeRunning(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  limits: ObservationLimits,
): void {
  if (noteEnd(draft, attemptId, observations, limits.now)) {
    return;
  }
  const attempt = required(draft, attemptId);
  const isLost = attempt.tasks.some((task) => isTaskLost(task, attempt, observations, limits));
  if (isLost) {
    leave(draft, attempt, AttemptEvent.lost, limits.now);
  }
}

function observeCheckpointing(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  limits: ObservationLimits,
): void {
  if (noteEnd(draft, attemptId, observations, limits.now)) {
    return;
  }
  const attempt = required(draft, attemptId);
  const hasStopped = attempt.tasks.every(
    (task) => task.isFinished || stateOf(task, attempt, observations).state === 'stopped',
  );
  if (hasStopped) {
    draft.advanceAttempt(attemptId, AttemptEvent.stopped);
  } else if (limits.now >= (attempt.stopBy ?? 0)) {
    leave(draft, attempt, AttemptEvent.expired, limits.now);
  }
}

// Notes failed and finished tasks. Returns whether the attempt has ended by that.
function noteEnd(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  now: number,
): boolean {
  if (noteFailures(draft, required(draft, attemptId), observations, now)) {
    return true;
  }
  const tasks = markFinished(draft, required(draft, attemptId), observations);
  const isFinished = tasks.every((task) => task.isFinished);
  if (isFinished) {
    draft.advanceAttempt(attemptId, AttemptEvent.finished, { outcome: 'succeed' });
  }
  return isFinished;
}

// A part counts as stopped when its worker has accepted a plan without it and does not list it
// as running, when the worker is gone, or when every lease for it must have ended.
function observeReleasing(
  draft: PlanDraft,
  attemptId: string,
  observations: Observations,
  limits: ObservationLimits,
): void {
  const attempt = required(draft, attemptId);
  const releaseRevision = attempt.releaseRevision ?? 0;
  const isFenced =
    limits.fencedRevision >= releaseRevision || (attempt.releasedAt ?? 0) < limits.releasedBefore;
  const tasks = attempt.tasks.map((task) => {
    const worker = observations.get(task.workerId);
    const hasAccepted = worker !== undefined && worker.planRevision >= releaseRevision;
    const isStopped = task.isStopped || isFenced || isGone(task, observations) || hasAccepted;
    return isStopped === task.isStopped ? task : { ...task, isStopped };
  });
  if (tasks.some((task, index) => task !== attempt.tasks[index])) {
    draft.updateAttempt(attemptId, { tasks });
  }
  if (tasks.every((task) => task.isStopped)) {
    draft.advanceAttempt(attemptId, AttemptEvent.stopped);
  }
}

/** Takes an attempt off its workers; the job goes back to the queue unless it is to end. */
export function leave(
  draft: PlanDraft,
  attempt: Attempt,
  event: AttemptEvent,
  now: number,
): boolean {
  const patch = { releaseRevision: draft.revision, releasedAt: now };
  return draft.advanceAttempt(attempt.id, event, patch);
}

function closeAttempt(draft: PlanDraft, attempt: Attempt, now: number): void {
  const job = draft.job(attempt.jobId);
  if (job === undefined) {
    return;
  }
  const attainedMs = job.attainedMs + attempt.progressMs - attempt.resumeFromMs;
  const checkpointMs = Math.max(job.checkpointMs, attempt.checkpointMs);
  const closers = {
    succeed: (): void => {
      draft.setEstimate(learn(job, attempt.progressMs, draft.estimates.get(kindOf(job))));
      const patch = { attainedMs, finishedAt: now, reason: 'all tasks finished' };
      draft.advanceJob(job.id, JobEvent.succeed, patch);
      attempt.tasks.forEach((task) => forgive(draft, task.workerId));
    },
    requeue: (): void => {
      const isCancelling = job.state === JobState.cancelling;
      const finished = isCancelling ? { finishedAt: now, reason: 'cancelled' } : {};
      // An attempt that never ran does not start the wait afresh.
      const queuedAt = attempt.startedAt === undefined ? job.queuedAt : now;
      const patch = { attainedMs, checkpointMs, queuedAt, ...finished };
      draft.advanceJob(job.id, JobEvent.requeue, patch);
    },
    fail: (): void => {
      draft.advanceJob(job.id, JobEvent.fail, { attainedMs, finishedAt: now });
    },
  };
  closers[attempt.outcome]();
}

function forgive(draft: PlanDraft, workerId: string): void {
  const worker = draft.worker(workerId);
  if (worker.failedJobs.length > 0 || worker.quarantines > 0) {
    draft.setWorker(recordSuccess(worker));
  }
}

function noteFailures(
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
  leave(draft, required(draft, attempt.id), AttemptEvent.failed, now);
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
  const heardAt = Math.max(worker?.reportedAt ?? 0, attempt.startedAt ?? 0);
  if (isGone(task, observations) || heardAt < limits.silentBefore) {
    return true;
  }
  const hasSeenRun = worker !== undefined && worker.planRevision >= (attempt.runRevision ?? 0);
  const { state } = stateOf(task, attempt, observations);
  return hasSeenRun && (state === 'stopped' || state === 'absent');
}

function stateOf(task: PlacedTask, attempt: Attempt, observations: Observations): TaskObservation {
  return observations.get(task.workerId)?.tasks.get(attempt.id) ?? absent;
}

function isGone(task: PlacedTask, observations: Observations): boolean {
  return observations.get(task.workerId)?.isGone === true;
}

function noteProgress(draft: PlanDraft, attempt: Attempt, observations: Observations): void {
  const seen = attempt.tasks.map((task) => stateOf(task, attempt, observations));
  // The gang is as far as its slowest part; parts that said nothing leave it where it was.
  const progressMs = Math.min(...seen.map((task) => task.progressMs));
  const checkpointMs = Math.min(...seen.map((task) => task.checkpointMs));
  if (progressMs > attempt.progressMs || checkpointMs > attempt.checkpointMs) {
    draft.noteProgress(
      attempt.id,
      Math.max(progressMs, attempt.progressMs),
      Math.max(checkpointMs, attempt.checkpointMs),
    );
  }
}

function required(draft: PlanDraft, attemptId: string): Attempt {
  const attempt = draft.attempt(attemptId);
  if (attempt === undefined) {
    throw new Error(`attempt "${attemptId}" is not in the plan`);
  }
  return attempt;
}
