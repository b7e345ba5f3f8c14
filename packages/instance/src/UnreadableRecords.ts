import type { RunCounters } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import { JobEvents } from './events.js';

/** Stored records that cannot be read: each revision is logged and counted once. */
export class UnreadableRecords {
  private readonly revisions = new Map<string, number>();

  public constructor(
    private readonly log: EventLog,
    private readonly counters: RunCounters,
  ) {}

  public report(key: string, revision: number, { message }: Error): void {
    if (this.revisions.get(key) !== revision) {
      this.revisions.set(key, revision);
      this.counters.unreadableRecords += 1;
      this.log.emit(JobEvents.recordUnreadable, { key, revision, message });
    }
  }
}
