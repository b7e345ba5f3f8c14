import { maxLateFactor } from './Objective.js';
import type { DurationEstimates } from './DurationEstimates.js';
import type { JobSpecification, Queue } from './Job.js';
import { isFinal } from './Job.js';
import type { JobRun } from './JobRun.js';
import type { RemainingRun } from './RemainingTime.js';
import { expectedAskMs } from './Permits.js';
import type { Runner } from './Runner.js';

/** Status of a queue, from which admission estimates the wait of a new job. */
export interface QueueStatus {
  /** Priority of the queue; absent in updates of earlier versions. */
  readonly priority?: number;
  /** Accepted jobs without a started task. */
  readonly pending: number;
  /** Milliseconds that all accelerators together need for the work scheduled ahead of a new job. */
  readonly backlogMs: number;
  /** Typical duration of a task in milliseconds; 0: unknown. */
  readonly durationMs: number;
  /** Accelerators of the largest runner, to refuse tasks that fit on no runner; 0: unknown. */
  readonly largestRunner: number;
}

export type Admission =
  | { readonly isAccepted: true }
  | { readonly isAccepted: false; readonly retryAfterMs: number; readonly reason: string };

/** Average utilization of the accelerators under load; the rest is lost to gaps. */
const loadedUtilization = 0.8;
/**
 * Bounds of a Retry-After in milliseconds: the header is in seconds, and clients retry four times.
 */
const minRetryMs = 1_000;
const maxRetryMs = 30_000;

/** Number of steps in the longest dependency chain. */
function chainLength(specification: JobSpecification): number {
  const depths: number[] = [];
  specification.steps.forEach((step, index) => {
    depths[index] = 1 + Math.max(0, ...step.after.map((dependency) => depths[dependency] ?? 0));
  });
  return Math.max(1, ...depths);
}

/**
 * Decides whether a new job is accepted.
 *
 * Load pattern: overload that lasts longer than a late result keeps its value. A job that would end
 * beyond `maxLateFactor` times its objective is refused immediately, with the time after which the
 * backlog should permit it. Every other job is accepted.
 */
export function decideAdmission(
  specification: JobSpecification,
  queue: Queue,
  status: QueueStatus | undefined,
): Admission {
  if (status === undefined) {
    return { isAccepted: true };
  }
  const maxAccelerators = Math.max(...specification.steps.map((step) => step.size.accelerators));
  if (status.largestRunner > 0 && maxAccelerators > status.largestRunner) {
    const reason = `no runner has ${maxAccelerators} accelerators`;
    return { isAccepted: false, retryAfterMs: maxRetryMs, reason };
  }
  if (status.durationMs === 0 || specification.firstDueAt > 0) {
    return { isAccepted: true };
  }
  const maxTasks = Math.max(...specification.steps.map(({ count }) => count));
  const askMs = expectedAskMs(queue.advice, maxTasks);
  const chainMs = chainLength(specification) * status.durationMs;
  const limitMs = maxLateFactor * (queue.stretch * chainMs + queue.targetMs);
  const waitMs = status.backlogMs + chainLength(specification) * askMs;
  const excessMs = waitMs + chainMs - limitMs;
  if (excessMs <= 0) {
    return { isAccepted: true };
  }
  return {
    isAccepted: false,
    retryAfterMs: Math.min(maxRetryMs, Math.max(minRetryMs, Math.round(excessMs))),
    reason: `backlog of ${Math.round(status.backlogMs)} ms`,
  };
}

/**
 * Computes the status of every queue, for admission on all instances.
 *
 * @param runners those that count as capacity for the work ahead
 */
export function describeQueues(
  queues: ReadonlyMap<string, Queue>,
  jobs: Iterable<JobRun>,
  runners: Iterable<Runner>,
  estimates: DurationEstimates,
  remainingRun: RemainingRun,
): Map<string, QueueStatus> {
  const pending = new Map<string, number>();
  const workByPriority = new Map<number, number>();
  [...jobs].forEach((job) => {
    if (isFinal(job.state)) {
      return;
    }
    const { queue } = job.specification;
    if (!job.hasStarted) {
      pending.set(queue, (pending.get(queue) ?? 0) + 1);
    }
    const { priority } = job.queue;
    const work =
      (workByPriority.get(priority) ?? 0) + remainingAcceleratorMs(job, estimates, remainingRun);
    workByPriority.set(priority, work);
  });
  const sizes = [...runners].map(({ listed }) => listed.capacity.accelerators);
  const accelerators = sizes.reduce((sum, size) => sum + size, 0);
  return new Map(
    [...queues.values()].map((queue): [string, QueueStatus] => {
      const workAhead = [...workByPriority]
        .filter(([priority]) => priority <= queue.priority)
        .reduce((sum, [, work]) => sum + work, 0);
      return [
        queue.name,
        {
          priority: queue.priority,
          pending: pending.get(queue.name) ?? 0,
          backlogMs: accelerators === 0 ? 0 : workAhead / (accelerators * loadedUtilization),
          durationMs: estimates.typicalMs(queue.name),
          largestRunner: Math.max(0, ...sizes),
        },
      ];
    }),
  );
}

function remainingAcceleratorMs(
  job: JobRun,
  estimates: DurationEstimates,
  remainingRun: RemainingRun,
): number {
  const { remainders } = job;
  return job.specification.steps.reduce((sum, step, index) => {
    const { tasks = 0, running = [] } = remainders[index] ?? {};
    if (step.isLasting || tasks === 0) {
      return sum;
    }
    const runningTasks = running.reduce((count, { members }) => count + members.length, 0);
    const runningMs = running.reduce(
      (total, group) => total + group.members.length * remainingRun(group),
      0,
    );
    const idleMs = (tasks - runningTasks) * estimates.estimate(job.queue.name, step);
    return sum + step.size.accelerators * (runningMs + idleMs);
  }, 0);
}
