import type { Clock } from '@apricothoist/common';
import type { Dispatcher, ProgressRecord, StoredProgress } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import type { StoredItem } from './CoordinationStore.js';
import { JobEvents } from './events.js';
import { parseJobKey, StoreKeys } from './keys.js';
import type { StoredJob } from './StoredJob.js';
import { parseRecord } from './StoredJob.js';

/** Confirmed deletion of the records of a job. */
interface Removal {
  /** Revision of the deletion. */
  readonly revision: number;
  /** Monotonic milliseconds of the confirmation. */
  readonly confirmedAt: number;
}

/** Loads stored jobs, their progress and their cancellations into the dispatcher. */
export class StoredJobLoader {
  private readonly removals = new Map<string, Removal>();

  public constructor(
    private readonly dispatcher: Dispatcher,
    private readonly clock: Clock,
    private readonly steadyClock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Loads all stored jobs and progress records at a takeover. */
  public loadAll(jobs: readonly StoredItem[], progress: readonly StoredItem[]): void {
    const records = new Map<string, StoredProgress>();
    const leasesExtendedUntil = this.steadyClock.monotonic();
    progress.forEach(({ key, value, revision }) => {
      const record = parseRecord<ProgressRecord>(value);
      if (record === undefined) {
        this.log.emit(JobEvents.recordUnreadable, { key });
        return;
      }
      const id = key.slice(StoreKeys.progressPrefix.length);
      records.set(id, { progress: record, version: revision, leasesExtendedUntil });
    });
    this.loadItems(jobs, records);
  }

  /** @param removed revisions of the deletion of all records of a job, by job id */
  public recordRemoved(removed: ReadonlyMap<string, number>): void {
    const confirmedAt = this.clock.monotonic();
    removed.forEach((revision, id) => this.removals.set(id, { revision, confirmedAt }));
  }

  /**
   * Loads items of a call that began at `requestedAt`; calls are expected one after the other. A
   * call that began before the deletion of a record was confirmed may still contain it.
   */
  public loadChanges(items: readonly StoredItem[], requestedAt: number): void {
    this.removals.forEach(({ confirmedAt }, id) => {
      if (confirmedAt < requestedAt) {
        this.removals.delete(id);
      }
    });
    this.loadItems(
      items.filter(({ key, revision }) => {
        const removal = this.removals.get(parseJobKey(key).id);
        return removal === undefined || revision > removal.revision;
      }),
    );
  }

  /** Loads jobs before cancellations: a cancellation may precede its job in the same list. */
  private loadItems(
    items: readonly StoredItem[],
    records?: ReadonlyMap<string, StoredProgress>,
  ): void {
    const cancellations: string[] = [];
    items.forEach(({ key, value }) => {
      const { id, isCancellation } = parseJobKey(key);
      if (isCancellation) {
        cancellations.push(id);
      } else if (value !== undefined) {
        this.loadJob(key, value, records?.get(id));
      }
    });
    cancellations.forEach((id) => this.dispatcher.cancelJob(id, this.clock.monotonic()));
  }

  private loadJob(key: string, value: string, record: StoredProgress | undefined): void {
    const stored = parseRecord<StoredJob>(value);
    if (stored === undefined) {
      this.log.emit(JobEvents.recordUnreadable, { key });
      return;
    }
    const ageMs = Math.max(0, this.clock.wall() - stored.specification.acceptedAt);
    this.dispatcher.addJob(
      stored.specification,
      stored.queue,
      this.clock.monotonic() - ageMs,
      this.clock.monotonic(),
      record,
    );
  }
}
