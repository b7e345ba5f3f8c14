import type { StartOutcome } from '@apricothoist/dispatch';

export const CallKind = { start: 'start', stop: 'stop', report: 'report' } as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** A call to a virtual runner, before its fate is decided. */
export interface VirtualCall {
  readonly kind: CallKind;
  readonly runnerId: string;
  /** Time at which the call is sent, in virtual milliseconds. */
  readonly sentAt: number;
  /** Task and run of a start or stop. */
  readonly task?: string;
  readonly run?: number;
  /** Last acknowledged end of a report. */
  readonly acknowledgedEnd?: number;
}

/** What becomes of a call to a virtual runner. */
export type CallFate =
  | { readonly kind: 'delivered'; readonly latencyMs: number }
  /** Never executed, no answer. */
  | { readonly kind: 'dropped' }
  /** Executed after the latency, no answer. */
  | { readonly kind: 'answerLost'; readonly latencyMs: number }
  /** Executed `lateMs` after it was sent, no answer. */
  | { readonly kind: 'late'; readonly lateMs: number }
  /** Answered without any effect; a report or stop is answered as refused. */
  | { readonly kind: 'refused'; readonly outcome: StartOutcome; readonly latencyMs: number };
