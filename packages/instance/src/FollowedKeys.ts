import type { FollowedItems } from './PrefixFollower.js';

/** What is known of one key: its revision, and its value if it exists. */
interface KnownKey {
  readonly revision: number;
  readonly value: string | undefined;
}

/** An existing key below the prefix. */
export interface FollowedKey {
  readonly value: string;
  readonly revision: number;
}

/**
 * The keys below a prefix among followed items.
 *
 * A complete read may be answered after a watch has delivered newer changes, so each key keeps the
 * revision of its last change, also after its deletion.
 */
export class FollowedKeys {
  private readonly keys = new Map<string, KnownKey>();

  public constructor(private readonly prefix: string) {}

  /** Existing keys, without the prefix. */
  public get existing(): Map<string, FollowedKey> {
    const existing = new Map<string, FollowedKey>();
    this.keys.forEach(({ value, revision }, key) => {
      if (value !== undefined) {
        existing.set(key.slice(this.prefix.length), { value, revision });
      }
    });
    return existing;
  }

  /** Applies followed items, of which those outside the prefix are ignored. */
  public apply({ items, revision, isComplete }: FollowedItems): void {
    const own = items.filter(({ key }) => key.startsWith(this.prefix));
    own.forEach((item) => {
      if (item.revision > (this.keys.get(item.key)?.revision ?? -1)) {
        this.keys.set(item.key, { revision: item.revision, value: item.value });
      }
    });
    if (isComplete) {
      this.removeAbsent(new Set(own.map(({ key }) => key)), revision);
    }
  }

  private removeAbsent(present: ReadonlySet<string>, revision: number): void {
    this.keys.forEach((known, key) => {
      if (!present.has(key) && known.revision <= revision) {
        this.keys.set(key, { revision, value: undefined });
      }
    });
  }
}
