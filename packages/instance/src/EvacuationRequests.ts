import { FollowedKeys } from './FollowedKeys.js';
import type { FollowedItems } from './PrefixFollower.js';

/** The operator's requests to evacuate data centres, one key each below a prefix. */
export class EvacuationRequests {
  private readonly keys: FollowedKeys;

  private requested: ReadonlySet<string> = new Set();

  private confirmed = -Infinity;

  /** @param prefix prefix of the keys; the rest of a key names the data centre */
  public constructor(prefix: string) {
    this.keys = new FollowedKeys(prefix);
  }

  /** Data centres to be evacuated. */
  public get dataCentres(): ReadonlySet<string> {
    return this.requested;
  }

  /** Monotonic milliseconds; every request acknowledged before this time is known. */
  public get confirmedAt(): number {
    return this.confirmed;
  }

  /** Applies followed items, of which others than evacuation requests are ignored. */
  public apply(followed: FollowedItems): void {
    this.confirmed = Math.max(this.confirmed, followed.requestedAt);
    this.keys.apply(followed);
    this.requested = new Set(this.keys.existing.keys());
  }
}
