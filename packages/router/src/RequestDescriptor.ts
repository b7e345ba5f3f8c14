import type { Urgency } from '@apricothoist/config';

/** Metadata of one request, from which the router decides. */
export interface RequestDescriptor {
  /** Unique, never reused. */
  readonly id: string;
  readonly account: string;
  readonly service: string;
  readonly urgency: Urgency;
  /** Whether running the request twice has the effect of running it once. */
  readonly isIdempotent: boolean;
  /** Idempotency key under which the caller repeats a request that is not idempotent. */
  readonly key?: string;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic milliseconds after which the caller no longer waits for the response. */
  readonly deadline: number;
  /** Whether a peer forwarded the request; a request is forwarded at most once. */
  readonly isForwarded: boolean;
}

/** Outcome of one attempt to run a request. */
export const AttemptOutcome = {
  answered: 'answered',
  /** The request certainly did not run. */
  notRun: 'notRun',
  /** The request may have run. */
  unknown: 'unknown',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Why a request was refused. */
export const RefusalReason = {
  unknownAccount: 'unknownAccount',
  unknownService: 'unknownService',
  /** No configuration has been loaded yet. */
  notReady: 'notReady',
  accountLimit: 'accountLimit',
  overloaded: 'overloaded',
  noEndpoint: 'noEndpoint',
  deadline: 'deadline',
  stopping: 'stopping',
  alreadyClaimed: 'alreadyClaimed',
  claimsUnavailable: 'claimsUnavailable',
  failed: 'failed',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Final result of a request that was not answered. */
export interface Refusal {
  readonly outcome: typeof AttemptOutcome.notRun | typeof AttemptOutcome.unknown;
  readonly reason: RefusalReason;
  /** Suggested delay in milliseconds before the caller repeats the request. */
  readonly retryAfterMs: number;
}

/** Final result of a request. */
export type RouteResult<Answer> =
  { readonly outcome: typeof AttemptOutcome.answered; readonly answer: Answer } | Refusal;

/** Result of one attempt. */
export type AttemptResult<Answer> =
  | {
      readonly outcome: typeof AttemptOutcome.answered;
      readonly answer: Answer;
      /** Whether the response counts as a failure of the endpoint. */
      readonly isFailure: boolean;
    }
  | {
      readonly outcome: typeof AttemptOutcome.notRun;
      /** Whether the endpoint refused because all its slots are in use. */
      readonly isBusy: boolean;
      /** Whether the endpoint reported that it is leaving. */
      readonly isLeaving: boolean;
    }
  | { readonly outcome: typeof AttemptOutcome.unknown };
