import type { JobSpecification, Queue } from '@apricothoist/dispatch';
import { unpack } from 'msgpackr';

import type { StateResult, SubmitResult, Lookup } from './requestResults.js';

/**
 * Version of the requests that an instance answers on its feed; its updates report it. An instance
 * of an earlier version reports none, is sent no request, and sends none.
 */
export const feedRequestVersion = 2;

/** Bytes of the largest request: the largest body of a submission and its job as decoded. */
export const maxRequestBytes = 1_000_000;

/** Longest time in milliseconds that a request may take; clients wait for seconds. */
export const maxLeftMs = 60_000;

export const ForwardedOperation = { submit: 'submit', state: 'state', cancel: 'cancel' } as const;
export type ForwardedOperation = (typeof ForwardedOperation)[keyof typeof ForwardedOperation];

/**
 * Versions from which the requests are answered as expected. Up to version 1, a cancelled job that is
 * absent may still be stored by a submission that is on its way.
 */
export const minRequestVersions: Readonly<Record<ForwardedOperation, number>> = {
  submit: 1,
  state: 1,
  cancel: 2,
};

/** What an instance asks the scheduling instance to do for a client. */
export type ForwardedRequest =
  | {
      readonly operation: typeof ForwardedOperation.submit;
      readonly specification: JobSpecification;
      readonly queue: Queue;
    }
  | { readonly operation: typeof ForwardedOperation.state; readonly id: string }
  | {
      readonly operation: typeof ForwardedOperation.cancel;
      readonly id: string;
      /** Absent in requests of earlier versions; see `TombstoneQueue`. */
      readonly client?: string;
    };

export type ForwardedResult =
  | { readonly submit: SubmitResult }
  | { readonly state: StateResult }
  | {
      readonly cancel: Lookup;
      /** Set if nothing was stored and the client should retry. */
      readonly retryAfterMs?: number;
    };

/** Frame from an instance to the scheduling instance. */
export interface FeedRequest {
  readonly requestVersion: number;
  /** Number of the request on its connection. */
  readonly request: number;
  /** Milliseconds until the deadline when it was sent; clocks of instances are not comparable. */
  readonly leftMs: number;
  readonly body: ForwardedRequest;
}

/** Frame from the scheduling instance with the answer to a request. */
export interface FeedAnswer {
  readonly answerTo: number;
  /** Absent if the request was rejected before anything was done for it. */
  readonly result?: ForwardedResult;
  /** Why it was rejected, for the log. */
  readonly rejection?: string;
}

/** Decoded frame; undefined if it cannot be read. */
export function unpackMessage(data: Buffer): unknown {
  try {
    return unpack(data);
  } catch {
    // The receiver logs it as a message of no known kind, or ignores it.
    return undefined;
  }
}

export function isFeedAnswer(message: unknown): message is FeedAnswer {
  return typeof (message as FeedAnswer | null | undefined)?.answerTo === 'number';
}

/** Returns undefined for a message of an unknown kind, which is ignored; the body is not checked. */
export function parseFeedRequest(data: Buffer): FeedRequest | undefined {
  const message = unpackMessage(data) as Partial<FeedRequest> | null | undefined;
  const isRequest =
    typeof message?.request === 'number' &&
    Number.isFinite(message.leftMs) &&
    typeof message.requestVersion === 'number' &&
    typeof message.body === 'object';
  return isRequest ? (message as FeedRequest) : undefined;
}
