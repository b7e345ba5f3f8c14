import type { Clock, Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { JobRun } from '@apricothoist/dispatch';
import { createProgressRecord } from '@apricothoist/dispatch';

import type {
  CommitResult,
  CoordinationError,
  CoordinationStore,
  Transaction,
} from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import { StoreTiming } from './StoreTiming.js';

/**
 * Timeout in milliseconds of a write of up to 15 jobs; longer than others, as it is repeated whole.
 */
const commitTimeoutMs = 1_200;
/**
 * First and longest back-off in milliseconds before a write is retried; starts wait for the write.
 */
const firstRetryMs = 60;
const maxRetryMs = 800;
/** Transaction entries for the holder key. */
const holderEntries = 1;
/** Transaction entries per job: the expected revision and the write. */
const jobEntries = 2;

/** Functions that return the keys of all records of a job. */
const keysOfJob = [StoreKeys.job, StoreKeys.cancel, StoreKeys.progress];

/** Stores the progress of jobs; writes fail unless the token is current. */
export class ProgressWriter {
  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly token: number,
    /** Whether this instance is still the scheduling instance. */
    private readonly isScheduling: () => boolean,
    private readonly onConflict: (key: string) => void,
    private readonly onFailure: (error: CoordinationError, jobs: number) => void,
  ) {}

  /**
   * Resolves to true once all progress is stored, or to false when this instance stops scheduling.
   */
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
   * Deletes all records of jobs; returns the ids of those whose records are certainly deleted, with
   * the revision of the deletion.
   */
  public async remove(ids: readonly string[]): Promise<ReadonlyMap<string, number>> {
    const size = Math.floor((this.store.maxTransactionEntries - holderEntries) / keysOfJob.length);
    const expect = [{ key: StoreKeys.holder, revision: this.token }];
    const removed = new Map<string, number>();
    for (let first = 0; first < ids.length && this.isScheduling(); first += size) {
      const batch = ids.slice(first, first + size);
      const deletes = batch.flatMap((id) => keysOfJob.map((key) => key(id)));
      const deadline = this.clock.monotonic() + commitTimeoutMs;
      const result = await this.store.commit({ expect, writes: [], deletes }, deadline);
      if (result.isErr()) {
        this.onFailure(result.error, ids.length - first);
      }
      if (result.isErr() || !result.value.isCommitted) {
        break;
      }
      const { revision } = result.value;
      batch.forEach((id) => removed.set(id, revision));
    }
    return removed;
  }

  // Retries until the outcome is certain. A delayed earlier call cannot take effect after its
  // retry: both expect the same revisions, and only one of them can match.
  private async writeBatch(jobs: readonly JobRun[]): Promise<boolean> {
    let backoffMs = firstRetryMs;
    while (this.isScheduling()) {
      const deadline = this.clock.monotonic() + commitTimeoutMs;
      const result = await this.store.commit(this.createTransaction(jobs), deadline);
      if (result.isOk()) {
        const isStored = this.readResult(jobs, result.value);
        if (isStored !== undefined) {
          return isStored;
        }
        backoffMs = 0;
      } else {
        this.onFailure(result.error, jobs.length);
      }
      await delay(this.random.jitter(backoffMs, StoreTiming.retryJitter));
      backoffMs = Math.min(maxRetryMs, Math.max(firstRetryMs, backoffMs * 2));
    }
    return false;
  }

  private createTransaction(jobs: readonly JobRun[]): Transaction {
    const holder = { key: StoreKeys.holder, revision: this.token };
    const expected = jobs.map((job) => ({
      key: StoreKeys.progress(job.id),
      revision: job.storedVersion,
    }));
    const writes = jobs.map((job) => ({
      key: StoreKeys.progress(job.id),
      value: JSON.stringify(createProgressRecord(job)),
    }));
    return { expect: [holder, ...expected], writes };
  }

  // True if stored, false if another instance holds the key, undefined if the write must be
  // retried.
  private readResult(jobs: readonly JobRun[], result: CommitResult): boolean | undefined {
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
