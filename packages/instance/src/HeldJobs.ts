import type { Clock } from '@apricothoist/common';

import type { CoordinationStore, StoredItem } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import { StoreTiming } from './StoreTiming.js';

/** Milliseconds between two reads of held jobs; records of progress are not watched. */
const readIntervalMs = 1_000;

/** The records of one job; each is undefined if it does not exist. */
export interface JobRecords {
  readonly job: StoredItem | undefined;
  readonly progress: StoredItem | undefined;
  readonly isCancelled: boolean;
}

/**
 * Jobs with a record that cannot be read, or beside a tombstone. Nothing of them is started, as that
 * could be done or cancelled already, until their records are read again and are sound.
 */
export class HeldJobs {
  /** Ids of held jobs; the one that was read longest ago comes first. */
  private readonly ids = new Set<string>();

  private isReading = false;

  private nextReadAt = -Infinity;

  /** @param load loads a job; false if a record of it is still unreadable */
  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly isNeeded: () => boolean,
    private readonly load: (id: string, records: JobRecords) => boolean,
  ) {}

  public get size(): number {
    return this.ids.size;
  }

  public has(id: string): boolean {
    return this.ids.has(id);
  }

  public add(id: string): void {
    this.ids.add(id);
  }

  /** Reads the job with the next step, after one of its records was written. */
  public recheck(id: string): void {
    const others = [...this.ids].filter((each) => each !== id);
    this.ids.clear();
    [id, ...others].forEach((each) => this.ids.add(each));
    this.nextReadAt = -Infinity;
  }

  /** Reads one held job if that is due. */
  public async readIfDue(): Promise<void> {
    const [id] = this.ids;
    const now = this.clock.monotonic();
    if (id === undefined || this.isReading || now < this.nextReadAt) {
      return;
    }
    this.isReading = true;
    this.nextReadAt = now + readIntervalMs;
    try {
      const records = await this.read(id);
      if (records === undefined || !this.isNeeded()) {
        return;
      }
      this.ids.delete(id);
      const isAbsent = records.job === undefined;
      if (!isAbsent && !this.load(id, records)) {
        this.ids.add(id);
      }
    } finally {
      this.isReading = false;
    }
  }

  /** Resolves to undefined if the store does not respond. */
  private async read(id: string): Promise<JobRecords | undefined> {
    const deadline = this.clock.monotonic() + StoreTiming.callTimeoutMs;
    const keys = [StoreKeys.job(id), StoreKeys.progress(id), StoreKeys.cancel(id)];
    const found = await Promise.all(keys.map((key) => this.store.read(key, deadline)));
    const [job, progress, cancellation] = found.map((item) => item.unwrapOr(undefined));
    return found.some((item) => item.isErr())
      ? undefined
      : { job, progress, isCancelled: cancellation !== undefined };
  }
}
