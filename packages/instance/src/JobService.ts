import type { Clock } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { Admission, JobSpecification, ProgressRecord, Queue } from '@apricothoist/dispatch';
import { decideAdmission, isFinal, JobState } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { CommitResult, CoordinationError, CoordinationStore } from './CoordinationStore.js';
import { absentRevision, CoordinationErrorKind } from './CoordinationStore.js';
import type { JobStatusCache } from './JobStatusCache.js';
import { StoreKeys } from './keys.js';
import { RecentSet } from './RecentSet.js';
import type { StoredJob } from './StoredJob.js';
import { parseRecord } from './StoredJob.js';
import { StoreTiming } from './StoreTiming.js';

export const SubmitOutcome = {
  accepted: 'accepted',
  /** Certainly not stored; the client may retry after `retryAfterMs`. */
  refused: 'refused',
  /** The job may or may not be stored. */
  unknown: 'unknown',
} as const;
export type SubmitOutcome = (typeof SubmitOutcome)[keyof typeof SubmitOutcome];

export interface SubmitResult {
  readonly outcome: SubmitOutcome;
  /** Reason of the outcome, for the log. */
  readonly reason: string;
  readonly retryAfterMs?: number;
}

export const Lookup = { found: 'found', absent: 'absent', unknown: 'unknown' } as const;
export type Lookup = (typeof Lookup)[keyof typeof Lookup];

export interface StateResult {
  readonly lookup: Lookup;
  readonly state?: JobState;
  /** Source and age of the state, for the log. */
  readonly source: string;
}

/** First and longest back-off in milliseconds between store calls for one request; it doubles. */
const firstBackoffMs = 20;
const maxBackoffMs = 300;
/** Retry-After in milliseconds while the store refuses calls or does not answer. */
const storeRetryAfterMs = 1_000;

/** Remembered submissions with unknown outcome: several minutes of a store outage at full load. */
const maxUnknownOutcomes = 1_000;

/** Submission, state queries and cancellation of jobs; runs on every instance. */
export class JobService {
  /** Jobs that an earlier attempt here may have stored; refusing them could be wrong. */
  private readonly unknownOutcomes = new RecentSet(maxUnknownOutcomes);

  public constructor(
    private readonly store: CoordinationStore,
    private readonly statusCache: JobStatusCache,
    private readonly clock: Clock,
    /** Whether the store is known to be unavailable to this instance. */
    private readonly isStoreUnavailable: () => boolean,
  ) {}

  /**
   * Stores the job. Submitting a job that is already stored is accepted.
   *
   * @param deadline monotonic milliseconds
   */
  public async submit(
    specification: JobSpecification,
    queue: Queue,
    deadline: number,
  ): Promise<SubmitResult> {
    if (this.statusCache.stateOf(specification.id) !== undefined) {
      return { outcome: SubmitOutcome.accepted, reason: 'already known' };
    }
    if (this.isStoreUnavailable()) {
      const reason = 'the store is unavailable';
      return this.unknownOutcomes.has(specification.id)
        ? { outcome: SubmitOutcome.unknown, reason }
        : { outcome: SubmitOutcome.refused, reason, retryAfterMs: storeRetryAfterMs };
    }
    const queueStatus = this.statusCache.isFresh
      ? this.statusCache.queueStatusOf(queue.name)
      : undefined;
    const admission = decideAdmission(specification, queue, queueStatus);
    if (!admission.isAccepted) {
      return this.refuseUnlessStored(specification.id, admission, deadline);
    }
    const stored: StoredJob = { specification, queue };
    const key = StoreKeys.job(specification.id);
    const transaction = {
      expect: [{ key, revision: absentRevision }],
      writes: [{ key, value: JSON.stringify(stored) }],
    };
    let mayBeStored = this.unknownOutcomes.has(specification.id);
    for (let call = 0; this.clock.monotonic() < deadline; call += 1) {
      const result = await this.store.commit(transaction, this.callDeadline(deadline));
      if (result.isOk()) {
        return { outcome: SubmitOutcome.accepted, reason: describeCommit(result) };
      }
      mayBeStored ||= result.error.kind !== CoordinationErrorKind.refused;
      if (!mayBeStored) {
        return {
          outcome: SubmitOutcome.refused,
          reason: describeCommit(result),
          retryAfterMs: storeRetryAfterMs,
        };
      }
      // Only another call can show whether the job is stored, and clients cannot safely resubmit
      // work that may already have run.
      await this.backOff(call, deadline);
    }
    this.unknownOutcomes.add(specification.id);
    return {
      outcome: SubmitOutcome.unknown,
      reason: 'the store did not answer before the deadline',
    };
  }

  // An earlier attempt may have been accepted by another instance; then a refusal would be wrong.
  private async refuseUnlessStored(
    id: string,
    { reason, retryAfterMs }: Extract<Admission, { isAccepted: false }>,
    deadline: number,
  ): Promise<SubmitResult> {
    for (let call = 0; this.clock.monotonic() < deadline; call += 1) {
      const found = await this.store.read(StoreKeys.job(id), this.callDeadline(deadline));
      if (found.isOk() && found.value !== undefined) {
        return { outcome: SubmitOutcome.accepted, reason: 'already stored' };
      }
      // An unanswered write of this instance may still take effect.
      if (found.isOk() && !this.unknownOutcomes.has(id)) {
        return { outcome: SubmitOutcome.refused, reason, retryAfterMs };
      }
      await this.backOff(call, deadline);
    }
    return {
      outcome: SubmitOutcome.unknown,
      reason: 'the store did not confirm that the job is absent',
    };
  }

  /** Tries both the status cache and the store until one has the state or the deadline passes. */
  public async stateOf(id: string, deadline: number): Promise<StateResult> {
    let source = 'the deadline passed';
    for (let call = 0; ; call += 1) {
      const known = this.cachedStateOf(id);
      if (known !== undefined) {
        return known;
      }
      if (this.clock.monotonic() >= deadline) {
        return { lookup: Lookup.unknown, source };
      }
      const stored = await this.readState(id, deadline);
      if (stored.lookup !== Lookup.unknown) {
        return stored;
      }
      source = stored.source;
      await this.backOff(call, deadline);
    }
  }

  // A final state is valid at any age.
  private cachedStateOf(id: string): StateResult | undefined {
    const state = this.statusCache.stateOf(id);
    if (state === undefined || (!isFinal(state) && !this.statusCache.isFresh)) {
      return undefined;
    }
    const age = Math.round(this.statusCache.ageMs);
    return { lookup: Lookup.found, state, source: `status cache, ${age} ms old` };
  }

  private async readState(id: string, deadline: number): Promise<StateResult> {
    const progress = await this.store.read(StoreKeys.progress(id), this.callDeadline(deadline));
    if (progress.isErr()) {
      return { lookup: Lookup.unknown, source: progress.error.message };
    }
    const record = parseRecord<ProgressRecord>(progress.value?.value);
    if (record !== undefined) {
      return { lookup: Lookup.found, state: record.state, source: 'stored progress' };
    }
    const job = await this.store.read(StoreKeys.job(id), this.callDeadline(deadline));
    if (job.isErr()) {
      return { lookup: Lookup.unknown, source: job.error.message };
    }
    return job.value === undefined
      ? { lookup: Lookup.absent, source: 'not stored' }
      : { lookup: Lookup.found, state: JobState.queued, source: 'stored job' };
  }

  /** Stores a cancellation of the job. */
  public async cancel(id: string, deadline: number): Promise<Lookup> {
    const found = await this.stateOf(id, deadline);
    if (found.lookup !== Lookup.found) {
      return found.lookup;
    }
    if (found.state !== undefined && isFinal(found.state)) {
      return Lookup.found;
    }
    const key = StoreKeys.cancel(id);
    const transaction = {
      expect: [{ key, revision: absentRevision }],
      writes: [{ key, value: '' }],
    };
    for (let call = 0; this.clock.monotonic() < deadline; call += 1) {
      const result = await this.store.commit(transaction, this.callDeadline(deadline));
      if (result.isOk()) {
        return Lookup.found;
      }
      await this.backOff(call, deadline);
    }
    return Lookup.unknown;
  }

  // Exponential back-off that ends at the deadline at the latest.
  private async backOff(call: number, deadline: number): Promise<void> {
    const leftMs = Math.max(0, deadline - this.clock.monotonic());
    await delay(Math.min(firstBackoffMs * 2 ** call, maxBackoffMs, leftMs));
  }

  private callDeadline(deadline: number): number {
    return Math.min(deadline, this.clock.monotonic() + StoreTiming.callTimeoutMs);
  }
}

function describeCommit(result: Result<CommitResult, CoordinationError>): string {
  if (result.isErr()) {
    return result.error.message;
  }
  return result.value.isCommitted ? `revision ${result.value.revision}` : 'already stored';
}
