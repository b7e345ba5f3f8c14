/**
 * Milliseconds for which a tombstone is kept at least: many times the seconds for which an instance
 * may be suspended or the store may hold up a write.
 */
export const tombstoneRetentionMs = 120_000;

/** Cancellation of a job that is not stored. */
export interface Tombstone {
  readonly id: string;
  /** Revision of its record. */
  readonly revision: number;
  /** Monotonic milliseconds from which the record may be removed. */
  readonly removableAt: number;
}

/** The tombstones that the scheduling instance has seen, in the order of their retention periods. */
export class Tombstones {
  private readonly byId = new Map<string, Tombstone>();

  public get size(): number {
    return this.byId.size;
  }

  public has(id: string): boolean {
    return this.byId.has(id);
  }

  /** Adds a tombstone; a new revision begins a new retention period. */
  public add(id: string, revision: number, now: number): void {
    if (this.byId.get(id)?.revision !== revision) {
      this.byId.delete(id);
      this.byId.set(id, { id, revision, removableAt: now + tombstoneRetentionMs });
    }
  }

  public delete(id: string): void {
    this.byId.delete(id);
  }

  /** Up to `limit` tombstones whose retention period has ended. */
  public removable(now: number, limit: number): readonly Tombstone[] {
    const found: Tombstone[] = [];
    for (const tombstone of this.byId.values()) {
      if (tombstone.removableAt > now || found.length === limit) {
        break;
      }
      found.push(tombstone);
    }
    return found;
  }
}
