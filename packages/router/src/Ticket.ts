import type { Urgency } from '@apricothoist/config';

/** What the router knows of one request. */
export interface Ticket {
  /** Never reused. */
  readonly id: string;
  readonly account: string;
  readonly service: string;
  readonly urgency: Urgency;
  /** Whether running the request twice has the effect of running it once. */
  readonly isIdempotent: boolean;
  /** The caller's key for repeats of a request that is not idempotent. */
  readonly key?: string;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic milliseconds after which the caller does not want the answer any more. */
  readonly deadline: number;
  /** True when a peer has passed the request on; it is not passed on again. */
  readonly isForwarded: boolean;
}

/** What is known about one attempt to run a request. */
export const AttemptOutcome = {
  answered: 'answered',
  /** It is certain that the request did not run. */
  notRun: 'notRun',
  /** The request may have run. */
  unknown: 'unknown',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Why a request was refused. */
export const RefusalReason = {
  unknownAccount: 'unknownAccount',
  unknownService: 'unknownService',
  /** No configuration is in force yet. */
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

/** A final negative answer. */
export interface Refusal {
  readonly outcome: typeof AttemptOutcome.notRun | typeof AttemptOutcome.unknown;
  readonly reason: RefusalReason;
  /** Milliseconds after which a repeat has a chance. */
  readonly retryAfterMs: number;
}

/** How the whole request ended. */
export type RouteResult<Answer> =
  { readonly outcome: typeof AttemptOutcome.answered; readonly answer: Answer } | Refusal;

/** How one attempt ended. */
export type AttemptResult<Answer> =
  | {
      readonly outcome: typeof AttemptOutcome.answered;
      readonly answer: Answer;
      /** Whether the answer counts against the endpoint's health. */
      readonly isFailure: boolean;
    }
  | {
      readonly outcome: typeof AttemptOutcome.notRun;
      /** True when the endpoint refused because all its slots are taken. */
      readonly isBusy: boolean;
      /** True when the endpoint said that it is leaving. */
      readonly isLeaving: boolean;
    }
  | { readonly outcome: typeof AttemptOutcome.unknown };
