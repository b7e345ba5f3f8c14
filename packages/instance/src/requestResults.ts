import type { JobState } from '@apricothoist/dispatch';

export const SubmitOutcome = {
  accepted: 'accepted',
  /** Certainly not stored; the client may retry after `retryAfterMs`. */
  refused: 'refused',
  /** The job may or may not be stored. */
  unknown: 'unknown',
} as const;
export type SubmitOutcome = (typeof SubmitOutcome)[keyof typeof SubmitOutcome];

export interface SubmitResult {
  readonly outcome: SubmitOutcome;
  /** Reason of the outcome, for the log. */
  readonly reason: string;
  /** Also of an unknown outcome in an outage: when the same job may be submitted again. */
  readonly retryAfterMs?: number;
}

export const Lookup = { found: 'found', absent: 'absent', unknown: 'unknown' } as const;
export type Lookup = (typeof Lookup)[keyof typeof Lookup];

export interface CancelResult {
  /**
   * `found`: the job is cancelled or has ended. `absent`: it is not stored, and a submission that is
   * still on its way will be refused. `unknown`: nothing is certain.
   */
  readonly lookup: Lookup;
  /** Reason of the result, for the log. */
  readonly reason: string;
  /** Set if nothing was stored and the client should retry. */
  readonly retryAfterMs?: number;
}

export interface StateResult {
  readonly lookup: Lookup;
  readonly state?: JobState;
  /** Source and age of the state, for the log. */
  readonly source: string;
}
