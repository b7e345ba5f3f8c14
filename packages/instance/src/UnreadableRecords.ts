import type { RunCounters } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import { JobEvents } from './events.js';

/** A revision of a stored record that cannot be read. */
export interface UnreadableRecord {
  readonly key: string;
  readonly revision: number;
  readonly error: Error;
}

/** Stored records that cannot be read: each revision is logged and counted once. */
export class UnreadableRecords {
  private readonly revisions = new Map<string, number>();

  public constructor(
    private readonly log: EventLog,
    private readonly counters: RunCounters,
  ) {}

  public report({ key, revision, error }: UnreadableRecord): void {
    if (this.revisions.get(key) !== revision) {
      this.revisions.set(key, revision);
      this.counters.unreadableRecords += 1;
      this.log.emit(JobEvents.recordUnreadable, { key, revision, message: error.message });
    }
  }
}
