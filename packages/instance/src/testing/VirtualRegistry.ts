import type { ListedRunner } from '@apricothoist/dispatch';
import type { VirtualCoordinationStore } from '@apricothoist/testing';

interface Entry {
  readonly revision: number;
  readonly writtenAt: number;
  readonly expiresAt: number;
  /** What another writer has changed. */
  readonly change?: Partial<ListedRunner>;
}

/** Writes and expiry of registry entries in virtual time. A runner that never writes stays listed. */
export class VirtualRegistry {
  private readonly entries = new Map<string, Entry>();

  /** Runners whose entries another writer has overwritten. */
  public readonly unreadableIds = new Set<string>();

  /** Runners whose entries the next listing lacks. */
  public readonly idsToOmit = new Set<string>();

  /** Parts of entries that another writer has overwritten, by runner. */
  public readonly overwritten = new Map<string, Partial<ListedRunner>>();

  public constructor(
    private readonly store: VirtualCoordinationStore,
    private readonly entryTtlMs: number,
    private readonly now: () => number,
  ) {}

  /** Writes the entry of a runner, which expires unless it is written again. */
  public write(id: string): void {
    this.put(id, this.now() + this.entryTtlMs);
  }

  /**
   * Lets another writer change the entry of a runner.
   *
   * @param isRenewed whether the entry expires as if the runner had written it
   */
  public overwrite(id: string, change: Partial<ListedRunner>, isRenewed: boolean): void {
    const entry = this.entries.get(id);
    if (entry !== undefined && this.contains(id)) {
      this.put(id, isRenewed ? this.now() + this.entryTtlMs : entry.expiresAt, change);
    }
  }

  public remove(id: string): void {
    const now = this.now();
    this.entries.set(id, { revision: this.revisionOf(id), writtenAt: now, expiresAt: now });
  }

  public contains(id: string): boolean {
    return this.now() < (this.entries.get(id)?.expiresAt ?? Infinity);
  }

  public revisionOf(id: string): number {
    return this.entries.get(id)?.revision ?? 0;
  }

  /** The entry as it was last written. */
  public show(entry: ListedRunner): ListedRunner {
    return { ...entry, ...this.entries.get(entry.id)?.change };
  }

  /** Time at which the entry was last written. */
  public writtenAt(id: string): number {
    return this.entries.get(id)?.writtenAt ?? -Infinity;
  }

  private put(id: string, expiresAt: number, change: Partial<ListedRunner> = {}): void {
    const revision = this.store.put(`runners/${id}`, '');
    this.entries.set(id, { revision, writtenAt: this.now(), expiresAt, change });
  }
}
