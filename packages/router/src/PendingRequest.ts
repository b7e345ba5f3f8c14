import type { RouteResult, RequestDescriptor } from './RequestDescriptor.js';

/** An admitted request that has not been settled, with its progress through the router. */
export interface PendingRequest<Body, Answer> {
  readonly descriptor: RequestDescriptor;
  readonly body: Body;
  readonly settle: (result: RouteResult<Answer>) => void;
  /** Endpoints to skip until no other endpoint has free capacity. */
  readonly excluded: Set<string>;
  isSettled: boolean;
  isRunning: boolean;
  isClaimed: boolean;
  /** Whether forwarding to another data centre has been tried. */
  hasTriedForwarding: boolean;
  /** Number of times the request was sent to an endpoint. */
  sendCount: number;
  /** Whether an earlier attempt may have run the request. */
  mayHaveRun: boolean;
}

export function createPendingRequest<Body, Answer>(
  descriptor: RequestDescriptor,
  body: Body,
  settle: (result: RouteResult<Answer>) => void,
): PendingRequest<Body, Answer> {
  return {
    descriptor,
    body,
    settle,
    excluded: new Set(),
    isSettled: false,
    isRunning: false,
    isClaimed: false,
    hasTriedForwarding: false,
    sendCount: 0,
    mayHaveRun: false,
  };
}
