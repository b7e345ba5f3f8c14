import type { Clock } from '@apricothoist/common';
import type { Dispatcher, StoredProgress } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { CoordinationStore, StoredItem } from './CoordinationStore.js';
import type { JobRecords } from './HeldJobs.js';
import { HeldJobs } from './HeldJobs.js';
import { parseJobKey, StoreKeys } from './keys.js';
import type { StoredJob } from './StoredJob.js';
import { decodeRecord, progressSchema, storedJobSchema } from './storedRecords.js';
import { Tombstones } from './Tombstones.js';
import type { UnreadableRecords } from './UnreadableRecords.js';

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

  /** Jobs that are loaded once their records have been read again. */
  public readonly held: HeldJobs;

  /** Cancellations of jobs that are not stored. */
  public readonly tombstones = new Tombstones();

  public constructor(
    store: CoordinationStore,
    private readonly dispatcher: Dispatcher,
    private readonly clock: Clock,
    private readonly steadyClock: Clock,
    private readonly unreadable: UnreadableRecords,
    isNeeded: () => boolean,
  ) {
    this.held = new HeldJobs(store, clock, isNeeded, (id, records) => this.loadHeld(id, records));
    dispatcher.state.heldJobs = this.held;
  }

  /** Loads all stored jobs and progress records at a takeover. */
  public loadAll(jobs: readonly StoredItem[], progress: readonly StoredItem[]): void {
    const records = new Map(
      progress.map((item) => [item.key.slice(StoreKeys.progressPrefix.length), item]),
    );
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
  private loadItems(items: readonly StoredItem[], records?: ReadonlyMap<string, StoredItem>): void {
    const cancellations: StoredItem[] = [];
    items.forEach((item) => {
      const { id, isCancellation } = parseJobKey(item.key);
      if (this.held.has(id)) {
        this.held.recheck(id);
      } else if (isCancellation) {
        cancellations.push(item);
      } else if (item.value !== undefined && this.tombstones.has(id)) {
        // Stored by an instance of an earlier version, or after the tombstone was removed.
        this.held.recheck(id);
      } else if (item.value !== undefined && !this.loadJob(id, item, records?.get(id))) {
        this.held.add(id);
      }
    });
    cancellations.forEach((item) => this.applyCancellation(item));
  }

  private applyCancellation({ key, value, revision }: StoredItem): void {
    const { id } = parseJobKey(key);
    const now = this.clock.monotonic();
    if (value === undefined) {
      this.tombstones.delete(id);
    } else if (this.dispatcher.state.jobs.has(id)) {
      this.dispatcher.cancelJob(id, now);
    } else {
      this.tombstones.add(id, revision, now);
    }
  }

  private loadHeld(id: string, { job, progress, isCancelled }: JobRecords): boolean {
    const isLoaded = job !== undefined && this.loadJob(id, job, progress);
    if (isLoaded) {
      this.tombstones.delete(id);
    }
    if (isLoaded && isCancelled) {
      this.dispatcher.cancelJob(id, this.clock.monotonic());
    }
    return isLoaded;
  }

  /** Returns false if a record cannot be read; a job that is known already stays as it is. */
  private loadJob(id: string, item: StoredItem, progress: StoredItem | undefined): boolean {
    if (this.dispatcher.state.jobs.has(id)) {
      return true;
    }
    const decoded = decodeJob(id, item);
    if (decoded.isErr()) {
      this.unreadable.report({ ...item, error: decoded.error });
      return false;
    }
    const { specification, queue } = decoded.value;
    const record = progress && this.decodeProgress(progress, specification.occurrences);
    if (progress !== undefined && record?.isErr() === true) {
      this.unreadable.report({ ...progress, error: record.error });
      return false;
    }
    const ageMs = Math.max(0, this.clock.wall() - specification.acceptedAt);
    const now = this.clock.monotonic();
    this.dispatcher.addJob(specification, queue, now - ageMs, now, record?.unwrapOr(undefined));
    return true;
  }

  private decodeProgress(
    { value = '', revision }: StoredItem,
    occurrences: number,
  ): Result<StoredProgress, Error> {
    const leasesExtendedUntil = this.steadyClock.monotonic();
    return decodeRecord(progressSchema, value).andThen((progress) =>
      progress.occurrences > occurrences
        ? err(new Error(`occurrences: the job has only ${occurrences}`))
        : ok({ progress, version: revision, leasesExtendedUntil }),
    );
  }
}

function decodeJob(id: string, { value = '' }: StoredItem): Result<StoredJob, Error> {
  return decodeRecord(storedJobSchema, value).andThen((stored) =>
    stored.specification.id === id
      ? ok(stored)
      : err(new Error('specification.id: not the id of the key')),
  );
}
