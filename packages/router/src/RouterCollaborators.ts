import type { Endpoint } from './Endpoint.js';
import type { AttemptResult, RouteResult, RequestDescriptor } from './RequestDescriptor.js';

/** Sends requests to endpoints. */
export interface EndpointSender<Body, Answer> {
  /**
   * Sends the request once.
   *
   * @param deadline monotonic milliseconds, after which the connection is destroyed
   */
  send(
    endpoint: Endpoint,
    descriptor: RequestDescriptor,
    body: Body,
    deadline: number,
  ): Promise<AttemptResult<Answer>>;
}

/** Forwards requests to an instance of another data centre. */
export interface PeerForwarder<Body, Answer> {
  /** Returns undefined if no peer has free capacity. */
  forward(descriptor: RequestDescriptor, body: Body): Promise<RouteResult<Answer>> | undefined;
}

export const ClaimResult = {
  /** This request, and no other under the same key, may be sent. */
  granted: 'granted',
  /** A request under this key was sent or may have been sent. */
  taken: 'taken',
  /** No claim can be made at present. */
  unavailable: 'unavailable',
} as const;
export type ClaimResult = (typeof ClaimResult)[keyof typeof ClaimResult];

/** Ensures that across all instances at most one request is sent under a key. */
export interface RequestClaims {
  claim(descriptor: RequestDescriptor): Promise<ClaimResult>;
  /** Releases the key after the request certainly did not run. */
  release(descriptor: RequestDescriptor): Promise<void>;
}
