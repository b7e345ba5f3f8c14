import type { StoreChanges, StoredValue, StoreTransport, StoreWrite } from '@apricothoist/platform';
import { StoreError, StoreErrorKind } from '@apricothoist/platform';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Faults that a store stand-in can be given. */
export interface StoreFaults {
  isDown: boolean;
  /** Writes to carry out whose answers are lost. */
  lostAnswers: number;
  /** Reads to answer with the state before the last write. */
  staleReads: number;
}

interface Row {
  readonly value: string;
  readonly version: number;
  readonly revision: number;
  readonly expiresAt: number;
}

interface Waiter {
  readonly prefix: string;
  readonly revision: number;
  readonly settle: (changes: StoreChanges) => void;
}

/** Stand-in for the platform's key-value service, in memory, with faults. */
export class MemoryStore implements StoreTransport {
  public readonly faults: StoreFaults = { isDown: false, lostAnswers: 0, staleReads: 0 };

  public reads = 0;

  public writes = 0;

  private rows = new Map<string, Row>();

  private before = new Map<string, Row>();

  private revision = 0;

  private waiters: Waiter[] = [];

  /** @param wall gives wall milliseconds */
  public constructor(private readonly wall: () => number) {}

  public async read(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    this.reads += 1;
    if (this.faults.isDown) {
      return down();
    }
    const row = this.visibleRows().get(key);
    return ok(
      row && this.isLive(row) ? { key, value: row.value, version: row.version } : undefined,
    );
  }

  public async list(prefix: string): Promise<Result<readonly StoredValue[], StoreError>> {
    this.reads += 1;
    if (this.faults.isDown) {
      return down();
    }
    const rows = [...this.visibleRows()].filter(
      ([key, row]) => key.startsWith(prefix) && this.isLive(row),
    );
    return ok(rows.map(([key, { value, version }]) => ({ key, value, version })));
  }

  public async write(write: StoreWrite): Promise<Result<number, StoreError>> {
    this.writes += 1;
    if (this.faults.isDown) {
      return down();
    }
    const row = this.rows.get(write.key);
    const version = row !== undefined && this.isLive(row) ? row.version : 0;
    if (version !== write.expected) {
      return err(new StoreError(StoreErrorKind.conflict, `"${write.key}" has version ${version}`));
    }
    const written = this.put(write);
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1;
      return err(new StoreError(StoreErrorKind.unknown, 'the answer was lost'));
    }
    return ok(written);
  }

  public watch(prefix: string, revision: number): Promise<Result<StoreChanges, StoreError>> {
    if (this.faults.isDown) {
      return Promise.resolve(down());
    }
    const keys = this.changedKeys(prefix, revision);
    if (keys.length > 0) {
      return Promise.resolve(ok({ revision: this.revision, keys }));
    }
    return new Promise((resolve) => {
      this.waiters.push({ prefix, revision, settle: (changes) => resolve(ok(changes)) });
    });
  }

  /** Answers all waiting watches as unchanged. */
  public endWatches(): void {
    const { waiters, revision } = this;
    this.waiters = [];
    waiters.forEach((waiter) => waiter.settle({ revision, keys: [] }));
  }

  /** The value of a key, without a call. */
  public peek(key: string): string | undefined {
    return this.rows.get(key)?.value;
  }

  public keys(prefix: string): string[] {
    return [...this.rows.keys()].filter((key) => key.startsWith(prefix));
  }

  private put(write: StoreWrite): number {
    this.revision += 1;
    const { value, expiresAt = Infinity } = write;
    // Versions of all keys come from one counter, so none is used again.
    const row: Row = { value, version: this.revision, revision: this.revision, expiresAt };
    this.before = new Map(this.rows);
    this.rows.set(write.key, row);
    this.notify();
    return row.version;
  }

  private notify(): void {
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((waiter) => {
      const keys = this.changedKeys(waiter.prefix, waiter.revision);
      if (keys.length > 0) {
        waiter.settle({ revision: this.revision, keys });
      } else {
        this.waiters.push(waiter);
      }
    });
  }

  private changedKeys(prefix: string, revision: number): string[] {
    return [...this.rows]
      .filter(([key, row]) => key.startsWith(prefix) && row.revision > revision)
      .map(([key]) => key);
  }

  private visibleRows(): Map<string, Row> {
    if (this.faults.staleReads <= 0) {
      return this.rows;
    }
    this.faults.staleReads -= 1;
    return this.before;
  }

  private isLive(row: Row): boolean {
    return row.expiresAt > this.wall();
  }
}

function down<T>(): Result<T, StoreError> {
  return err(new StoreError(StoreErrorKind.unavailable, 'the store is down'));
}
