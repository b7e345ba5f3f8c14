import type { RouteResult, Ticket } from './Ticket.js';

/** One request on its way through the router. */
export interface Course<Body, Answer> {
  readonly ticket: Ticket;
  readonly body: Body;
  readonly settle: (result: RouteResult<Answer>) => void;
  /** Endpoints that are not tried again in this turn. */
  readonly excluded: Set<string>;
  isSettled: boolean;
  isRunning: boolean;
  isClaimed: boolean;
  hasForwarded: boolean;
  sends: number;
  /** Whether an earlier send of this request may have run. */
  mayHaveRun: boolean;
}

export function createCourse<Body, Answer>(
  ticket: Ticket,
  body: Body,
  settle: (result: RouteResult<Answer>) => void,
): Course<Body, Answer> {
  return {
    ticket,
    body,
    settle,
    excluded: new Set(),
    isSettled: false,
    isRunning: false,
    isClaimed: false,
    hasForwarded: false,
    sends: 0,
    mayHaveRun: false,
  };
}
