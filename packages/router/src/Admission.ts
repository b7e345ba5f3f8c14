import type { FairQueue, WeightOf } from './FairQueue.js';
import type { Refusal, Ticket } from './Ticket.js';
import { AttemptOutcome, RefusalReason } from './Ticket.js';

/** State of a service that admission decides from. */
export interface AdmissionState {
  readonly queue: FairQueue;
  /** Requests that can run at a time. */
  readonly concurrency: number;
  /** Mean time in milliseconds that a request runs. */
  readonly serviceMs: number;
  /** Requests of the ticket's account that are queued or running. */
  readonly accountOpen: number;
  /** Most of them that are allowed. */
  readonly accountLimit: number;
  readonly weightOf: WeightOf;
}

const minRetryAfterMs = 100;

/**
 * Refuses a request at once when its account is at its limit, or when it could not be answered by
 * its deadline behind what is already queued. Times are monotonic milliseconds.
 */
export function admit(ticket: Ticket, state: AdmissionState, now: number): Refusal | undefined {
  if (state.accountOpen >= state.accountLimit) {
    return refuse(RefusalReason.accountLimit, state.serviceMs);
  }
  const waitMs = expectedWaitMs(ticket, state);
  if (now + waitMs + state.serviceMs > ticket.deadline) {
    return refuse(RefusalReason.overloaded, waitMs);
  }
  return undefined;
}

/** Expected wait in milliseconds: more pressing requests go first, then the account's own turn. */
export function expectedWaitMs(ticket: Ticket, state: AdmissionState): number {
  const { queue, weightOf } = state;
  if (queue.size === 0) {
    return 0;
  }
  const ownWeight = weightOf(ticket.account);
  const rivals = queue
    .waitingAccounts(ticket.urgency)
    .filter((account) => account !== ticket.account);
  const own = queue.backlog(ticket.account, ticket.urgency);
  // While this account's requests are served, each rival is served in proportion to its weight.
  const shared = rivals.reduce((sum, account) => {
    const turns = ((own + 1) * weightOf(account)) / ownWeight;
    return sum + Math.min(queue.backlog(account, ticket.urgency), turns);
  }, 0);
  const ahead = queue.backlogAbove(ticket.urgency) + own + shared;
  const modelled = (ahead * state.serviceMs) / Math.max(1, state.concurrency);
  // The pace knows what the model does not: how much more pressing work keeps arriving.
  return Math.max(modelled, queue.paceWaitMs(ticket.account, ticket.urgency));
}

function refuse(reason: RefusalReason, waitMs: number): Refusal {
  const retryAfterMs = Math.max(minRetryAfterMs, Math.ceil(waitMs));
  return { outcome: AttemptOutcome.notRun, reason, retryAfterMs };
}
