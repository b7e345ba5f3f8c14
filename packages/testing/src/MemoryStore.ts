import type { StoreChanges, StoredValue, StoreTransport, StoreWrite } from '@apricothoist/platform';
import { StoreError, StoreErrorKind } from '@apricothoist/platform';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Faults that a test can inject into a {@link MemoryStore}. */
export interface StoreFaults {
  isUnavailable: boolean;
  /** Number of coming writes that are applied but whose responses are lost. */
  lostResponses: number;
  /** Number of coming reads that return the state before the last write. */
  staleReads: number;
}

interface Row {
  readonly value: string;
  readonly version: number;
  readonly revision: number;
  readonly expiresAt: number;
}

interface PendingWatch {
  readonly prefix: string;
  readonly revision: number;
  readonly settle: (changes: StoreChanges) => void;
}

/** In-memory fake of the platform's key-value service with injectable faults. */
export class MemoryStore implements StoreTransport {
  public readonly faults: StoreFaults = { isUnavailable: false, lostResponses: 0, staleReads: 0 };

  public reads = 0;

  public writes = 0;

  private rows = new Map<string, Row>();

  private previousRows = new Map<string, Row>();

  private revision = 0;

  private pendingWatches: PendingWatch[] = [];

  /** @param wall returns the wall time in milliseconds */
  public constructor(private readonly wall: () => number) {}

  public async read(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    this.reads += 1;
    if (this.faults.isUnavailable) {
      return unavailable();
    }
    const row = this.readableRows().get(key);
    return ok(
      row && this.isLive(row) ? { key, value: row.value, version: row.version } : undefined,
    );
  }

  public async list(prefix: string): Promise<Result<readonly StoredValue[], StoreError>> {
    this.reads += 1;
    if (this.faults.isUnavailable) {
      return unavailable();
    }
    const rows = [...this.readableRows()].filter(
      ([key, row]) => key.startsWith(prefix) && this.isLive(row),
    );
    return ok(rows.map(([key, { value, version }]) => ({ key, value, version })));
  }

  public async write(write: StoreWrite): Promise<Result<number, StoreError>> {
    this.writes += 1;
    if (this.faults.isUnavailable) {
      return unavailable();
    }
    const row = this.rows.get(write.key);
    const version = row !== undefined && this.isLive(row) ? row.version : 0;
    if (version !== write.expected) {
      return err(new StoreError(StoreErrorKind.conflict, `"${write.key}" has version ${version}`));
    }
    const written = this.storeRow(write);
    if (this.faults.lostResponses > 0) {
      this.faults.lostResponses -= 1;
      return err(new StoreError(StoreErrorKind.unknown, 'response to the write was lost'));
    }
    return ok(written);
  }

  public watch(prefix: string, revision: number): Promise<Result<StoreChanges, StoreError>> {
    if (this.faults.isUnavailable) {
      return Promise.resolve(unavailable());
    }
    const keys = this.changedKeys(prefix, revision);
    if (keys.length > 0) {
      return Promise.resolve(ok({ revision: this.revision, keys }));
    }
    return new Promise((resolve) => {
      this.pendingWatches.push({ prefix, revision, settle: (changes) => resolve(ok(changes)) });
    });
  }

  /** Completes all pending watches without changes, as on a time-out of the watch. */
  public endWatches(): void {
    const { pendingWatches, revision } = this;
    this.pendingWatches = [];
    pendingWatches.forEach((watch) => watch.settle({ revision, keys: [] }));
  }

  /** Returns the value of a key without counting as a read, also if it has expired. */
  public peek(key: string): string | undefined {
    return this.rows.get(key)?.value;
  }

  /** Returns all keys with a prefix without counting as a read, expired ones included. */
  public keys(prefix: string): string[] {
    return [...this.rows.keys()].filter((key) => key.startsWith(prefix));
  }

  private storeRow(write: StoreWrite): number {
    this.revision += 1;
    const { value, expiresAt = Infinity } = write;
    // The versions of all keys come from one counter, so that a version is never reused.
    const row: Row = { value, version: this.revision, revision: this.revision, expiresAt };
    this.previousRows = new Map(this.rows);
    this.rows.set(write.key, row);
    this.settleWatches();
    return row.version;
  }

  private settleWatches(): void {
    const { pendingWatches } = this;
    this.pendingWatches = [];
    pendingWatches.forEach((watch) => {
      const keys = this.changedKeys(watch.prefix, watch.revision);
      if (keys.length > 0) {
        watch.settle({ revision: this.revision, keys });
      } else {
        this.pendingWatches.push(watch);
      }
    });
  }

  private changedKeys(prefix: string, revision: number): string[] {
    return [...this.rows]
      .filter(([key, row]) => key.startsWith(prefix) && row.revision > revision)
      .map(([key]) => key);
  }

  private readableRows(): Map<string, Row> {
    if (this.faults.staleReads <= 0) {
      return this.rows;
    }
    this.faults.staleReads -= 1;
    return this.previousRows;
  }

  private isLive(row: Row): boolean {
    return row.expiresAt > this.wall();
  }
}

function unavailable<T>(): Result<T, StoreError> {
  return err(new StoreError(StoreErrorKind.unavailable, 'store is unavailable'));
}
