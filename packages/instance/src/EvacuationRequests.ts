import type { FollowedItems } from './PrefixFollower.js';

/** What is known of one key: its revision, and whether it exists. */
interface KnownKey {
  readonly revision: number;
  readonly exists: boolean;
}

/**
 * The operator's requests to evacuate data centres, one key each below a prefix.
 *
 * A complete read may be answered after a watch has delivered newer changes, so each key keeps the
 * revision of its last change, also after its deletion.
 */
export class EvacuationRequests {
  private readonly keys = new Map<string, KnownKey>();

  private requested: ReadonlySet<string> = new Set();

  private confirmed = -Infinity;

  /** @param prefix prefix of the keys; the rest of a key names the data centre */
  public constructor(private readonly prefix: string) {}

  /** Data centres to be evacuated. */
  public get dataCentres(): ReadonlySet<string> {
    return this.requested;
  }

  /** Monotonic milliseconds; every request acknowledged before this time is known. */
  public get confirmedAt(): number {
    return this.confirmed;
  }

  /** Applies followed items, of which others than evacuation requests are ignored. */
  public apply({ items, requestedAt, revision, isComplete }: FollowedItems): void {
    this.confirmed = Math.max(this.confirmed, requestedAt);
    const own = items.filter(({ key }) => key.startsWith(this.prefix));
    own.forEach((item) => {
      if (item.revision > (this.keys.get(item.key)?.revision ?? -1)) {
        const exists = item.value !== undefined;
        this.keys.set(item.key, { revision: item.revision, exists });
      }
    });
    if (isComplete) {
      this.removeAbsent(new Set(own.map(({ key }) => key)), revision);
    }
    const existing = [...this.keys].filter(([, { exists }]) => exists);
    this.requested = new Set(existing.map(([key]) => key.slice(this.prefix.length)));
  }

  private removeAbsent(present: ReadonlySet<string>, revision: number): void {
    this.keys.forEach((known, key) => {
      if (!present.has(key) && known.revision <= revision) {
        this.keys.set(key, { revision, exists: false });
      }
    });
  }
}
