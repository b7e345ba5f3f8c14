import { StoreReach } from './StoreReachability.js';

/** Typical duration of an outage of the store in milliseconds. */
export const typicalOutageMs = 4_000;
/** Milliseconds before a retry when it is not known whether another instance reaches the store. */
const unknownRetryMs = 1_000;
/** Milliseconds over which retries are spread, so that clients do not come back at one moment. */
const retrySpreadMs = 1_000;

export interface OutageFacts {
  readonly reach: StoreReach;
  /** Monotonic milliseconds; undefined if only single calls failed. */
  readonly outOfReachSince: number | undefined;
  /** Whether other instances are known to reach the store in this outage. */
  readonly isReachedElsewhere: boolean;
}

/** Monotonic milliseconds at which an outage is expected to end; later if it is a long one. */
export function expectedOutageEnd(outOfReachSince: number, now: number): number {
  return Math.max(outOfReachSince + typicalOutageMs, now + unknownRetryMs);
}

/**
 * Milliseconds after which a client whose submission was not accepted should retry.
 *
 * Load pattern: clients retry four times. While the store is out of reach for all, early retries
 * use these up, and retries at one moment are a burst on the store that has just returned; while
 * only one instance is cut off, the next one accepts the job at once.
 *
 * @param share random number from 0 to 1
 */
export function storeRetryAfterMs(facts: OutageFacts, now: number, share: number): number {
  if (facts.isReachedElsewhere) {
    return 0;
  }
  const spreadMs = share * retrySpreadMs;
  return facts.reach === StoreReach.outOfReachForAll && facts.outOfReachSince !== undefined
    ? expectedOutageEnd(facts.outOfReachSince, now) - now + spreadMs
    : unknownRetryMs + spreadMs;
}
