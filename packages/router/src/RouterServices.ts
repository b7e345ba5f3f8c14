import type { Endpoint } from './Endpoint.js';
import type { AttemptResult, RouteResult, Ticket } from './Ticket.js';

/** Sends requests to endpoints. */
export interface EndpointSender<Body, Answer> {
  /**
   * Sends once.
   *
   * @param deadline monotonic milliseconds; the connection is destroyed when it passes
   */
  send(
    endpoint: Endpoint,
    ticket: Ticket,
    body: Body,
    deadline: number,
  ): Promise<AttemptResult<Answer>>;
}

/** Passes requests to an instance of another data centre. */
export interface PeerForwarder<Body, Answer> {
  /** Undefined when no peer has room. */
  forward(ticket: Ticket, body: Body): Promise<RouteResult<Answer>> | undefined;
}

export const ClaimResult = {
  /** This request may be sent, and no other under the same key. */
  granted: 'granted',
  /** A request under this key has been or may have been sent. */
  taken: 'taken',
  /** Claims cannot be made at present. */
  unavailable: 'unavailable',
} as const;
export type ClaimResult = (typeof ClaimResult)[keyof typeof ClaimResult];

/** Makes sure that of all requests under one key, at any instance, only one is sent. */
export interface RequestClaims {
  claim(ticket: Ticket): Promise<ClaimResult>;
  /** Gives the key free after the request certainly did not run. */
  release(ticket: Ticket): Promise<void>;
}
