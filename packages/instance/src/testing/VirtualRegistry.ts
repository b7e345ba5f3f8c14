import type { ListedRunner } from '@apricothoist/dispatch';
import type { VirtualCoordinationStore } from '@apricothoist/testing';

interface Entry {
  readonly revision: number;
  readonly expiresAt: number;
}

/** Writes and expiry of registry entries in virtual time. A runner that never writes stays listed. */
export class VirtualRegistry {
  private readonly entries = new Map<string, Entry>();

  /** Runners whose entries another writer has overwritten. */
  public readonly unreadableIds = new Set<string>();

  /** Parts of entries that another writer has overwritten, by runner. */
  public readonly overwritten = new Map<string, Partial<ListedRunner>>();

  public constructor(
    private readonly store: VirtualCoordinationStore,
    private readonly entryTtlMs: number,
    private readonly now: () => number,
  ) {}

  /** Writes the entry of a runner, which expires unless it is written again. */
  public write(id: string): void {
    const revision = this.store.put(`runners/${id}`, '');
    this.entries.set(id, { revision, expiresAt: this.now() + this.entryTtlMs });
  }

  public remove(id: string): void {
    this.entries.set(id, { revision: this.revisionOf(id), expiresAt: this.now() });
  }

  public contains(id: string): boolean {
    return this.now() < (this.entries.get(id)?.expiresAt ?? Infinity);
  }

  public revisionOf(id: string): number {
    return this.entries.get(id)?.revision ?? 0;
  }
}
