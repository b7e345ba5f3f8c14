import type { Clock } from '@apricothoist/common';
import type { Dispatcher, ProgressRecord } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import type { StoredItem } from './CoordinationStore.js';
import { JobEvents } from './events.js';
import { parseJobKey, StoreKeys } from './keys.js';
import type { StoredJob } from './StoredJob.js';
import { parseRecord } from './StoredJob.js';

/** Brings stored jobs, their progress and their cancels to the dispatcher. */
export class JobIntake {
  public constructor(
    private readonly dispatcher: Dispatcher,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Takes all that is stored, at a takeover. */
  public takeStored(jobs: readonly StoredItem[], progress: readonly StoredItem[]): void {
    const records = new Map<string, { progress: ProgressRecord; version: number }>();
    progress.forEach(({ key, value, revision }) => {
      const record = parseRecord<ProgressRecord>(value);
      if (record === undefined) {
        this.log.emit(JobEvents.recordUnreadable, { key });
        return;
      }
      const id = key.slice(StoreKeys.progressPrefix.length);
      records.set(id, { progress: record, version: revision });
    });
    this.takeItems(jobs, records);
  }

  /** Takes jobs before cancels: a cancel may stand before its job in the same list. */
  public takeItems(
    items: readonly StoredItem[],
    records?: ReadonlyMap<string, { progress: ProgressRecord; version: number }>,
  ): void {
    const cancels: string[] = [];
    items.forEach(({ key, value }) => {
      const { id, isCancel } = parseJobKey(key);
      if (isCancel) {
        cancels.push(id);
      } else if (value !== undefined) {
        this.takeJob(key, value, records?.get(id));
      }
    });
    cancels.forEach((id) => this.dispatcher.cancelJob(id, this.clock.monotonic()));
  }

  private takeJob(
    key: string,
    value: string,
    record: { progress: ProgressRecord; version: number } | undefined,
  ): void {
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
