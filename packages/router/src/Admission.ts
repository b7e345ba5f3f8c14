import type { FairQueue, WeightOf } from './FairQueue.js';
import type { Refusal, RequestDescriptor } from './RequestDescriptor.js';
import { AttemptOutcome, RefusalReason } from './RequestDescriptor.js';

/** State of a service on which the admission decision is based. */
export interface AdmissionState {
  readonly queue: FairQueue;
  /** Number of requests that can run concurrently. */
  readonly concurrency: number;
  /** Mean service time of a request in milliseconds. */
  readonly serviceMs: number;
  /** Number of queued or running requests of the account. */
  readonly accountOpenCount: number;
  /** Limit on `accountOpenCount`. */
  readonly accountLimit: number;
  readonly weightOf: WeightOf;
}

const minRetryAfterMs = 100;

/**
 * Returns a refusal if the account is at its limit, or if the request cannot meet its deadline
 * given the queued requests. Times are monotonic milliseconds.
 */
export function admit(
  descriptor: RequestDescriptor,
  state: AdmissionState,
  now: number,
): Refusal | undefined {
  if (state.accountOpenCount >= state.accountLimit) {
    return refuse(RefusalReason.accountLimit, state.serviceMs);
  }
  const waitMs = expectedWaitMs(descriptor, state);
  if (now + waitMs + state.serviceMs > descriptor.deadline) {
    return refuse(RefusalReason.overloaded, waitMs);
  }
  return undefined;
}

/**
 * Expected queueing time in milliseconds, from the requests of higher urgency and the fair share of
 * the account among those of the same urgency.
 */
export function expectedWaitMs(descriptor: RequestDescriptor, state: AdmissionState): number {
  const { queue, weightOf } = state;
  if (queue.size === 0) {
    return 0;
  }
  const ownWeight = weightOf(descriptor.account);
  const competitors = queue
    .waitingAccounts(descriptor.urgency)
    .filter((account) => account !== descriptor.account);
  const ownBacklog = queue.backlog(descriptor.account, descriptor.urgency);
  // Until this request is dequeued, the other accounts are served in proportion to their weights.
  const competitorShare = competitors.reduce((sum, account) => {
    const proportionalShare = ((ownBacklog + 1) * weightOf(account)) / ownWeight;
    return sum + Math.min(queue.backlog(account, descriptor.urgency), proportionalShare);
  }, 0);
  const requestsAhead =
    queue.backlogOfHigherUrgency(descriptor.urgency) + ownBacklog + competitorShare;
  const modelledWaitMs = (requestsAhead * state.serviceMs) / Math.max(1, state.concurrency);
  // The observed dequeue rate accounts for requests of higher urgency that keep arriving, which the
  // model leaves out.
  return Math.max(modelledWaitMs, queue.observedWaitMs(descriptor.account, descriptor.urgency));
}

function refuse(reason: RefusalReason, waitMs: number): Refusal {
  const retryAfterMs = Math.max(minRetryAfterMs, Math.ceil(waitMs));
  return { outcome: AttemptOutcome.notRun, reason, retryAfterMs };
}
