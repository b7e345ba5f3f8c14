import type { Clock } from '@apricothoist/common';

import type { CoordinationStore, Transaction } from './CoordinationStore.js';
import { absentRevision } from './CoordinationStore.js';
import { cancellationValue, StoreKeys } from './keys.js';
import { backOff, callDeadline } from './requestBackoff.js';
import { TombstoneQueue } from './TombstoneQueue.js';

export const TombstoneOutcome = {
  /** The tombstone is stored and the job is not: a create that comes later fails. */
  stored: 'stored',
  /** The job is stored: it needs an ordinary cancellation. */
  jobStored: 'jobStored',
  /** Certainly not stored, as too many are. */
  refused: 'refused',
  /** The store did not answer before the deadline. */
  unknown: 'unknown',
} as const;
export type TombstoneOutcome = (typeof TombstoneOutcome)[keyof typeof TombstoneOutcome];

export interface TombstoneResult {
  readonly outcome: TombstoneOutcome;
  /** Milliseconds until there is room; set if it was refused. */
  readonly retryAfterMs?: number;
}

interface Entry {
  readonly id: string;
  readonly client: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly settle: (result: TombstoneResult) => void;
}

/** Entries of a transaction for each tombstone: the expectation and the write. */
const entriesPerTombstone = 2;
/** Milliseconds of a deadline that a call needs at least. */
const minCallMs = 50;

/**
 * Stores tombstones: cancellations of jobs that are not stored. A create of such a job that is still
 * on its way, at an instance or in the store, then fails.
 */
export class TombstoneWriter implements Disposable {
  private readonly queue: TombstoneQueue<Entry>;

  private readonly unsettled = new Set<Entry>();

  private timer: NodeJS.Timeout | undefined;

  private isWriting = false;

  /** Tombstones since the process started. */
  public readonly counts = { stored: 0, refused: 0 };

  public constructor(
    private readonly store: Pick<CoordinationStore, 'commit' | 'maxTransactionEntries'>,
    private readonly clock: Clock,
    private readonly onError: (error: unknown) => void,
  ) {
    this.queue = new TombstoneQueue(Math.floor(store.maxTransactionEntries / entriesPerTombstone));
  }

  /**
   * Stores the tombstone of a job, or extends the time for which it is kept.
   *
   * @param client see `TombstoneQueue`
   * @param deadline monotonic milliseconds
   */
  public write(id: string, client: string, deadline: number): Promise<TombstoneResult> {
    const now = this.clock.monotonic();
    const expectedAt = this.queue.expectedAt(client, now);
    if (expectedAt > now && expectedAt + minCallMs > deadline) {
      this.counts.refused += 1;
      const { refused } = TombstoneOutcome;
      return Promise.resolve({ outcome: refused, retryAfterMs: expectedAt - now });
    }
    return new Promise((resolve) => {
      const entry: Entry = {
        id,
        client,
        deadline,
        settle: (result) => {
          clearTimeout(timeout);
          this.unsettled.delete(entry);
          this.queue.remove(entry);
          resolve(result);
        },
      };
      const timeout = setTimeout(
        () => entry.settle({ outcome: TombstoneOutcome.unknown }),
        deadline - now,
      );
      this.unsettled.add(entry);
      this.queue.add(entry);
      this.sendIfDue();
    });
  }

  // One call at a time; what arrives meanwhile is gathered for the next one.
  private sendIfDue(): void {
    const now = this.clock.monotonic();
    const nextCallAt = this.queue.nextCallAt(now);
    if (this.isWriting || nextCallAt === Infinity) {
      return;
    }
    clearTimeout(this.timer);
    if (nextCallAt > now) {
      this.timer = setTimeout(() => this.sendIfDue(), Math.ceil(nextCallAt - now));
      return;
    }
    this.isWriting = true;
    this.writeBatch(this.queue.takeBatch(now))
      .catch(this.onError)
      .finally(() => {
        this.isWriting = false;
        this.sendIfDue();
      });
  }

  private async writeBatch(batch: readonly Entry[]): Promise<void> {
    let open = batch;
    for (let call = 0; ; call += 1) {
      open = open.filter((entry) => this.unsettled.has(entry));
      if (open.length === 0) {
        return;
      }
      const lastDeadline = Math.max(...open.map(({ deadline }) => deadline));
      const deadline = callDeadline(this.clock, lastDeadline);
      const result = await this.store.commit(createTransaction(open), deadline);
      if (result.isErr()) {
        await backOff(this.clock, call, lastDeadline);
      } else if (result.value.isCommitted) {
        this.counts.stored += open.length;
        open.forEach(({ settle }) => settle({ outcome: TombstoneOutcome.stored }));
      } else {
        const storedKeys = new Set(result.value.items.map(({ key }) => key));
        open
          .filter(({ id }) => storedKeys.has(StoreKeys.job(id)))
          .forEach(({ settle }) => settle({ outcome: TombstoneOutcome.jobStored }));
        await backOff(this.clock, 0, lastDeadline);
      }
    }
  }

  public [Symbol.dispose](): void {
    clearTimeout(this.timer);
    this.unsettled.forEach(({ settle }) => settle({ outcome: TombstoneOutcome.unknown }));
  }
}

// The revision of an earlier tombstone is not expected: a new one extends the time that it is kept.
function createTransaction(entries: readonly Entry[]): Transaction {
  const ids = [...new Set(entries.map(({ id }) => id))];
  return {
    expect: ids.map((id) => ({ key: StoreKeys.job(id), revision: absentRevision })),
    writes: ids.map((id) => ({ key: StoreKeys.cancel(id), value: cancellationValue })),
  };
}
