import type { Clock, Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { JobRun } from '@apricothoist/dispatch';
import { recordProgress } from '@apricothoist/dispatch';

import type {
  CommitResult,
  CoordinationError,
  CoordinationStore,
  Transaction,
} from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import { StorePace } from './StorePace.js';

/** Milliseconds for a write of up to 15 jobs; longer than other calls, as it is repeated whole. */
const callMs = 1_200;
/** First and longest pause in milliseconds before a write is repeated: starts wait for it. */
const retryMs = 60;
const maxRetryMs = 800;
/** Entries of a transaction for the holder's key. */
const holderEntries = 1;
/** Entries of a transaction for each job: what is expected, and what is written. */
const jobEntries = 2;

/** Keys of all records of a job. */
const keysOfJob = [StoreKeys.job, StoreKeys.cancel, StoreKeys.progress];

/** Stores the progress of jobs; only the holder of the token can. */
export class ProgressWriter {
  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly token: number,
    /** Whether this instance still schedules. */
    private readonly isCurrent: () => boolean,
    private readonly onConflict: (key: string) => void,
    private readonly onFailure: (error: CoordinationError, jobs: number) => void,
  ) {}

  /** Returns once all progress is stored, or false when this instance does not schedule any more. */
  public async write(jobs: readonly JobRun[]): Promise<boolean> {
    const size = Math.floor((this.store.maxTransactionEntries - holderEntries) / jobEntries);
    for (let first = 0; first < jobs.length; first += size) {
      if (!(await this.writeBatch(jobs.slice(first, first + size)))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Deletes all records of jobs. What is not deleted for want of an answer is found again by the
   * next holder.
   */
  public async remove(ids: readonly string[]): Promise<void> {
    const size = Math.floor((this.store.maxTransactionEntries - holderEntries) / keysOfJob.length);
    const expect = [{ key: StoreKeys.holder, revision: this.token }];
    for (let first = 0; first < ids.length && this.isCurrent(); first += size) {
      const deletes = ids
        .slice(first, first + size)
        .flatMap((id) => keysOfJob.map((key) => key(id)));
      const deadline = this.clock.monotonic() + callMs;
      const result = await this.store.commit({ expect, writes: [], deletes }, deadline);
      if (result.isErr()) {
        this.onFailure(result.error, ids.length);
      }
    }
  }

  // Repeats until it is certain. A repetition after a lost answer cannot be overtaken by the lost
  // call: both expect the same revisions, and only one of them can find them.
  private async writeBatch(jobs: readonly JobRun[]): Promise<boolean> {
    let pauseMs = retryMs;
    while (this.isCurrent()) {
      const deadline = this.clock.monotonic() + callMs;
      const result = await this.store.commit(this.describe(jobs), deadline);
      if (result.isOk()) {
        const isStored = this.accept(jobs, result.value);
        if (isStored !== undefined) {
          return isStored;
        }
        pauseMs = 0;
      } else {
        this.onFailure(result.error, jobs.length);
      }
      await delay(this.random.jitter(pauseMs, StorePace.retrySpread));
      pauseMs = Math.min(maxRetryMs, Math.max(retryMs, pauseMs * 2));
    }
    return false;
  }

  private describe(jobs: readonly JobRun[]): Transaction {
    const holder = { key: StoreKeys.holder, revision: this.token };
    const expected = jobs.map((job) => ({
      key: StoreKeys.progress(job.id),
      revision: job.storedVersion,
    }));
    const writes = jobs.map((job) => ({
      key: StoreKeys.progress(job.id),
      value: JSON.stringify(recordProgress(job)),
    }));
    return { expect: [holder, ...expected], writes };
  }

  // True: stored; false: another instance holds the key; undefined: to be written again.
  private accept(jobs: readonly JobRun[], result: CommitResult): boolean | undefined {
    if (result.isCommitted) {
      jobs.forEach((job) => {
        job.storedVersion = result.revision;
      });
      return true;
    }
    const revisions = new Map(result.items.map(({ key, revision }) => [key, revision]));
    if (revisions.get(StoreKeys.holder) !== this.token) {
      return false;
    }
    jobs.forEach((job) => {
      const key = StoreKeys.progress(job.id);
      const revision = revisions.get(key) ?? 0;
      if (revision !== job.storedVersion) {
        this.onConflict(key);
        job.storedVersion = revision;
      }
    });
    return undefined;
  }
}
