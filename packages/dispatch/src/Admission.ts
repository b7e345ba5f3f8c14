import { lateLimit } from './DispatchOrder.js';
import type { DurationEstimates } from './DurationEstimates.js';
import type { JobSpecification, Queue } from './Job.js';
import { isFinal } from './Job.js';
import type { JobRun } from './JobRun.js';
import type { Runner } from './Runner.js';

/** What a new job of a queue has to expect. */
export interface QueueOutlook {
  /** Accepted jobs of which no task has started. */
  readonly pending: number;
  /** Milliseconds that all accelerators together need for the work that goes before a new job. */
  readonly backlogMs: number;
  /** Usual duration of a task in milliseconds; 0: not known yet. */
  readonly durationMs: number;
  /** Accelerators of the largest runner, to tell tasks that no runner can hold; 0: not known. */
  readonly largestRunner: number;
}

export type Admission =
  | { readonly isAccepted: true }
  | { readonly isAccepted: false; readonly retryAfterMs: number; readonly reason: string };

/** Share of the accelerators that is in use on average under load; the rest is lost to gaps. */
const usableShare = 0.8;
/** Bounds of a Retry-After in milliseconds: its unit is a second, and clients retry four times. */
const minRetryMs = 1_000;
const maxRetryMs = 30_000;

/** Longest chain of steps, in steps. */
function chainLength(specification: JobSpecification): number {
  const depths: number[] = [];
  specification.steps.forEach((step, index) => {
    depths[index] = 1 + Math.max(0, ...step.after.map((needed) => depths[needed] ?? 0));
  });
  return Math.max(1, ...depths);
}

/**
 * Decides whether a new job is accepted.
 *
 * Load pattern: much more work than fits for longer than clients have a use for its result. A job
 * that would only be done after its client has given up is refused at once, with the time after
 * which the backlog allows it; every other job is accepted.
 */
export function decideAdmission(
  specification: JobSpecification,
  queue: Queue,
  outlook: QueueOutlook | undefined,
): Admission {
  if (outlook === undefined) {
    return { isAccepted: true };
  }
  const widest = Math.max(...specification.steps.map((step) => step.size.accelerators));
  if (outlook.largestRunner > 0 && widest > outlook.largestRunner) {
    const reason = `no runner has ${widest} accelerators`;
    return { isAccepted: false, retryAfterMs: maxRetryMs, reason };
  }
  if (outlook.durationMs === 0 || specification.firstDueAt > 0) {
    return { isAccepted: true };
  }
  const chainMs = chainLength(specification) * outlook.durationMs;
  const limitMs = lateLimit * (queue.stretch * chainMs + queue.targetMs);
  const excessMs = outlook.backlogMs + chainMs - limitMs;
  if (excessMs <= 0) {
    return { isAccepted: true };
  }
  return {
    isAccepted: false,
    retryAfterMs: Math.min(maxRetryMs, Math.max(minRetryMs, Math.round(excessMs))),
    reason: `backlog of ${Math.round(outlook.backlogMs)} ms`,
  };
}

/** Describes every queue for admission on all instances. */
export function describeQueues(
  queues: ReadonlyMap<string, Queue>,
  jobs: Iterable<JobRun>,
  runners: Iterable<Runner>,
  estimates: DurationEstimates,
): Map<string, QueueOutlook> {
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
    const work = (workByPriority.get(priority) ?? 0) + remainingAcceleratorMs(job, estimates);
    workByPriority.set(priority, work);
  });
  const rooms = [...runners].filter(({ isListed, isDraining }) => isListed && !isDraining);
  const sizes = rooms.map(({ listed }) => listed.capacity.accelerators);
  const accelerators = sizes.reduce((sum, size) => sum + size, 0);
  return new Map(
    [...queues.values()].map((queue): [string, QueueOutlook] => {
      const ahead = [...workByPriority]
        .filter(([priority]) => priority <= queue.priority)
        .reduce((sum, [, work]) => sum + work, 0);
      return [
        queue.name,
        {
          pending: pending.get(queue.name) ?? 0,
          backlogMs: accelerators === 0 ? 0 : ahead / (accelerators * usableShare),
          durationMs: estimates.learned(queue.name),
          largestRunner: Math.max(0, ...sizes),
        },
      ];
    }),
  );
}

function remainingAcceleratorMs(job: JobRun, estimates: DurationEstimates): number {
  const { remainders } = job;
  return job.specification.steps.reduce((sum, step, index) => {
    const tasks = step.isLasting ? 0 : (remainders[index]?.tasks ?? 0);
    return sum + tasks * step.size.accelerators * estimates.estimate(job.queue.name, step);
  }, 0);
}
