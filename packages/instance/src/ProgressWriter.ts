import type { Clock, Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { JobRun, JobState } from '@apricothoist/dispatch';
import { createProgressRecord } from '@apricothoist/dispatch';

import type {
  CoordinationError,
  CoordinationStore,
  StoredItem,
  Transaction,
} from './CoordinationStore.js';
import { absentRevision } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import { StoreTiming } from './StoreTiming.js';

/** Longest timeout of a write in milliseconds: 15 large jobs over a slow link. */
const commitTimeoutMs = 1_200;
/** Shortest timeout of a write in milliseconds, some 60 times the specified 4 ms. */
const minTimeoutMs = 250;
/** Timeout as a multiple of the usual time of a write. */
const usualTimeFactor = 4;
/** Growth of the timeout with each attempt: a call without an answer may be a slow one. */
const timeoutGrowth = 1.5;
/** Share of the usual time that remains after a faster write. */
const usualTimeDecay = 0.8;
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

/** States of jobs as stored. */
export type JobStates = readonly (readonly [id: string, state: JobState])[];

/** What one call of a write has sent; a repeated call sends the progress made meanwhile too. */
interface Attempt {
  readonly states: JobStates;
  readonly writes: Transaction['writes'];
}

/** Stores the progress of jobs; writes fail unless the token is current. */
export class ProgressWriter {
  private recentTimeMs = 0;

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

  /** Milliseconds that a write has taken lately; grows while writes are unanswered. */
  public get usualTimeMs(): number {
    return this.recentTimeMs;
  }

  /** Largest number of jobs in a write. */
  public get batchSize(): number {
    return Math.floor((this.store.maxTransactionEntries - holderEntries) / jobEntries);
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

  /**
   * Stores the progress of up to `batchSize` jobs. Resolves to their stored states, or to undefined
   * when this instance stops scheduling.
   *
   * Retries until the outcome is certain. A delayed earlier call cannot take effect after its retry:
   * both expect the same revisions, and only one of them can match.
   */
  public async write(jobs: readonly JobRun[]): Promise<JobStates | undefined> {
    const attempts: Attempt[] = [];
    let backoffMs = firstRetryMs;
    while (this.isScheduling()) {
      const sentAt = this.clock.monotonic();
      const deadline = sentAt + this.timeoutMs(attempts.length);
      const attempt = createAttempt(jobs);
      attempts.push(attempt);
      const result = await this.store.commit(this.createTransaction(jobs, attempt), deadline);
      if (result.isOk()) {
        const tookMs = this.clock.monotonic() - sentAt;
        this.recentTimeMs = Math.max(tookMs, this.recentTimeMs * usualTimeDecay);
      } else if (this.clock.monotonic() >= deadline) {
        // The link may be full; shorter timeouts would fill it with repeated writes.
        const unansweredMs = (this.clock.monotonic() - sentAt) / usualTimeFactor;
        this.recentTimeMs = Math.max(this.recentTimeMs, unansweredMs);
      }
      if (result.isErr()) {
        this.onFailure(result.error, jobs.length);
      } else if (result.value.isCommitted) {
        const { revision } = result.value;
        jobs.forEach((job) => Object.assign(job, { storedVersion: revision }));
        return attempt.states;
      } else {
        const { items } = result.value;
        if (items.find(({ key }) => key === StoreKeys.holder)?.revision !== this.token) {
          return undefined;
        }
        const stored = attempts.find(({ writes }) => isStoredIn(items, writes));
        this.adoptRevisions(jobs, items, stored !== undefined);
        if (stored !== undefined) {
          return stored.states;
        }
        backoffMs = 0;
      }
      await delay(this.random.jitter(backoffMs, StoreTiming.retryJitter));
      backoffMs = Math.min(maxRetryMs, Math.max(firstRetryMs, backoffMs * 2));
    }
    return undefined;
  }

  private timeoutMs(attempt: number): number {
    const firstMs = Math.max(minTimeoutMs, this.recentTimeMs * usualTimeFactor);
    return Math.min(commitTimeoutMs, firstMs * timeoutGrowth ** attempt);
  }

  private createTransaction(jobs: readonly JobRun[], { writes }: Attempt): Transaction {
    const holder = { key: StoreKeys.holder, revision: this.token };
    const expected = jobs.map((job) => ({
      key: StoreKeys.progress(job.id),
      revision: job.storedVersion,
    }));
    return { expect: [holder, ...expected], writes };
  }

  private adoptRevisions(
    jobs: readonly JobRun[],
    items: readonly StoredItem[],
    isOwnWrite: boolean,
  ): void {
    const revisions = new Map(items.map(({ key, revision }) => [key, revision]));
    jobs.forEach((job) => {
      const key = StoreKeys.progress(job.id);
      const revision = revisions.get(key) ?? absentRevision;
      if (revision !== job.storedVersion) {
        if (!isOwnWrite) {
          this.onConflict(key);
        }
        job.storedVersion = revision;
      }
    });
  }
}

function createAttempt(jobs: readonly JobRun[]): Attempt {
  return {
    states: jobs.map(({ id, state }) => [id, state] as const),
    writes: jobs.map((job) => ({
      key: StoreKeys.progress(job.id),
      value: JSON.stringify(createProgressRecord(job)),
    })),
  };
}

/** Whether the items show that a call whose answer was lost has stored all of its writes. */
function isStoredIn(items: readonly StoredItem[], writes: Transaction['writes']): boolean {
  const values = new Map(items.map(({ key, value }) => [key, value]));
  return writes.every(({ key, value }) => values.get(key) === value);
}
