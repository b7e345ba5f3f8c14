import type { Clock } from '@apricothoist/common';

import type { CoordinationError, CoordinationStore, Transaction } from './CoordinationStore.js';
import { absentRevision } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import { StoreTiming } from './StoreTiming.js';
import type { Tombstone, Tombstones } from './Tombstones.js';

/** Entries of a transaction for each tombstone: two expectations and the deletion. */
const entriesPerTombstone = 3;
/** Shortest time in milliseconds between two calls: at most a tenth of the writes of the store. */
const minIntervalMs = 25;
/** Milliseconds before the next call after a failed one. */
const retryMs = 1_000;

/** Removes the records of tombstones after their retention period; runs on the scheduling instance. */
export class TombstoneRemoval {
  private isRemoving = false;

  private nextCallAt = -Infinity;

  public constructor(
    private readonly tombstones: Tombstones,
    private readonly store: Pick<CoordinationStore, 'commit' | 'maxTransactionEntries'>,
    private readonly clock: Clock,
    /** Fencing token of the term: revision of the holder's key. */
    private readonly token: number,
    private readonly onFailure: (error: CoordinationError, tombstones: number) => void,
  ) {}

  /** Removes a batch if one is due and no other is being removed. */
  public async removeIfDue(): Promise<void> {
    const now = this.clock.monotonic();
    if (this.isRemoving || now < this.nextCallAt) {
      return;
    }
    const batch = this.tombstones.removable(now, this.maxBatch);
    if (batch.length === 0) {
      return;
    }
    this.isRemoving = true;
    this.nextCallAt = now + minIntervalMs;
    try {
      await this.remove(batch, now);
    } finally {
      this.isRemoving = false;
    }
  }

  private get maxBatch(): number {
    return Math.floor((this.store.maxTransactionEntries - 1) / entriesPerTombstone);
  }

  private async remove(batch: readonly Tombstone[], now: number): Promise<void> {
    const result = await this.store.commit(
      this.createTransaction(batch),
      now + StoreTiming.callTimeoutMs,
    );
    if (result.isErr()) {
      this.nextCallAt = now + retryMs;
      this.onFailure(result.error, batch.length);
    } else if (result.value.isCommitted) {
      batch.forEach(({ id }) => this.tombstones.delete(id));
    } else {
      this.nextCallAt = now + retryMs;
      // Records that have changed are adopted, and those of others are removed by the next call.
      const items = new Map(result.value.items.map((item) => [item.key, item.revision]));
      batch.forEach(({ id }) => {
        const revision = items.get(StoreKeys.cancel(id));
        if (revision === undefined || items.has(StoreKeys.job(id))) {
          this.tombstones.delete(id);
        } else {
          this.tombstones.add(id, revision, now);
        }
      });
    }
  }

  // A job that is stored keeps its cancellation.
  private createTransaction(batch: readonly Tombstone[]): Transaction {
    return {
      expect: [
        { key: StoreKeys.holder, revision: this.token },
        ...batch.flatMap(({ id, revision }) => [
          { key: StoreKeys.cancel(id), revision },
          { key: StoreKeys.job(id), revision: absentRevision },
        ]),
      ],
      writes: [],
      deletes: batch.map(({ id }) => StoreKeys.cancel(id)),
    };
  }
}
