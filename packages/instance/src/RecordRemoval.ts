import type { Event } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type { Dispatcher } from '@apricothoist/dispatch';

import type { ProgressWriter } from './ProgressWriter.js';
import type { StoredJobLoader } from './StoredJobLoader.js';
import type { TombstoneRemoval } from './TombstoneRemoval.js';

/** Removes the records of ended jobs and of tombstones after their retention periods. */
export class RecordRemoval implements Disposable {
  private readonly jobsRemoved = new Emitter<readonly string[]>();

  /** Fires with the ids of jobs whose records are certainly deleted. */
  public readonly onJobsRemoved: Event<readonly string[]> = this.jobsRemoved.event;

  private isRemovingJobs = false;

  public constructor(
    private readonly dispatcher: Dispatcher,
    private readonly jobLoader: StoredJobLoader,
    private readonly writer: Pick<ProgressWriter, 'remove'>,
    private readonly tombstones: TombstoneRemoval,
  ) {}

  public async removeIfDue(): Promise<void> {
    await Promise.all([this.removeJobs(), this.tombstones.removeIfDue()]);
  }

  private async removeJobs(): Promise<void> {
    if (this.isRemovingJobs) {
      return;
    }
    const expiredJobIds = this.dispatcher.takeExpiredJobIds();
    if (expiredJobIds.length === 0) {
      return;
    }
    this.isRemovingJobs = true;
    const removed = await this.writer.remove(expiredJobIds).finally(() => {
      this.isRemovingJobs = false;
    });
    const removedIds = [...removed.keys()];
    this.jobLoader.recordRemoved(removed);
    this.dispatcher.forgetJobs(removedIds);
    this.jobsRemoved.fire(removedIds);
  }

  public [Symbol.dispose](): void {
    this.jobsRemoved[Symbol.dispose]();
  }
}
