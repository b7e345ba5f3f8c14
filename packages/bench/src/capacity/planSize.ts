import { Adjacency, Urgency } from '@apricothoist/config';
import type { Attempt, Job, Plan } from '@apricothoist/scheduler';
import { AttemptState, createPlan, JobState } from '@apricothoist/scheduler';

const identifier = '01234567-89ab-cdef-0123-456789abcdef';

/** Size in bytes of a stored plan that has the given number of active jobs and tasks per job. */
export function planBytes(jobs: number, tasksPerJob: number): number {
  const plan: Plan = {
    ...createPlan('data-centre-1'),
    revision: 10_000,
    jobs: Array.from({ length: jobs }, () => createJob(tasksPerJob)),
    attempts: Array.from({ length: jobs }, () => createAttempt(tasksPerJob)),
  };
  return Buffer.byteLength(JSON.stringify({ writeId: identifier, data: plan }));
}

function createJob(tasks: number): Job {
  return {
    id: identifier,
    name: 'network-matching',
    account: 'team-100',
    shape: { workers: tasks, acceleratorsPerWorker: 1, adjacency: Adjacency.rack },
    urgency: Urgency.normal,
    declaredMs: 12_345_678,
    submittedAt: 1_790_000_000_000,
    state: JobState.active,
    queuedAt: 1_790_000_000_000,
    attemptCount: 1,
    checkpointMs: 1_234_567,
    attainedMs: 1_234_567,
    failedWorkers: [],
    reason: 'placed on data-centre-1-worker-10 (borrowed)',
  };
}

function createAttempt(tasks: number): Attempt {
  return {
    id: identifier,
    jobId: identifier,
    account: 'team-100',
    number: 1,
    state: AttemptState.running,
    tasks: Array.from({ length: tasks }, () => ({
      workerId: 'data-centre-1-worker-10',
      accelerators: 1,
      isStopped: false,
      isFinished: false,
    })),
    guarantee: 'team-100-shape',
    urgency: Urgency.normal,
    reserveBy: 1_790_000_000_000,
    startedAt: 1_790_000_000_000,
    runRevision: 9_999,
    resumeFromMs: 0,
    progressMs: 1_234_567,
    checkpointMs: 1_234_567,
    outcome: 'requeue',
  };
}
