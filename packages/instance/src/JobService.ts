import type { Clock } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { Admission, JobSpecification, ProgressRecord, Queue } from '@apricothoist/dispatch';
import { decideAdmission, isFinal, JobState } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { CommitResult, CoordinationError, CoordinationStore } from './CoordinationStore.js';
import { absentRevision, CoordinationErrorKind } from './CoordinationStore.js';
import type { JobBoard } from './JobBoard.js';
import { StoreKeys } from './keys.js';
import { RecentSet } from './RecentSet.js';
import type { StoredJob } from './StoredJob.js';
import { parseRecord } from './StoredJob.js';
import { StorePace } from './StorePace.js';

export const SubmitOutcome = {
  accepted: 'accepted',
  /** Certainly not accepted; it may be sent again after `retryAfterMs`. */
  refused: 'refused',
  /** It may have been accepted. */
  unknown: 'unknown',
} as const;
export type SubmitOutcome = (typeof SubmitOutcome)[keyof typeof SubmitOutcome];

export interface SubmitAnswer {
  readonly outcome: SubmitOutcome;
  /** Why, for the log. */
  readonly reason: string;
  readonly retryAfterMs?: number;
}

export const Lookup = { found: 'found', absent: 'absent', unknown: 'unknown' } as const;
export type Lookup = (typeof Lookup)[keyof typeof Lookup];

export interface StateAnswer {
  readonly lookup: Lookup;
  readonly state?: JobState;
  /** Where the answer comes from and how old it is, for the log. */
  readonly source: string;
}

/** Pauses in milliseconds between calls of the store for one request; they double. */
const firstPauseMs = 20;
const maxPauseMs = 300;
/** Retry-After in milliseconds while the store refuses or does not answer. */
const storeRetryMs = 1_000;

/** Submissions of unknown outcome that are remembered: some minutes of an outage at full load. */
const maxUncertain = 1_000;

/** Accepts jobs, tells their state and cancels them, on every instance. */
export class JobService {
  /** Jobs that an earlier attempt here may have stored: a refusal of them could be untrue. */
  private readonly uncertain = new RecentSet(maxUncertain);

  public constructor(
    private readonly store: CoordinationStore,
    private readonly board: JobBoard,
    private readonly clock: Clock,
    /** Whether the store is known not to answer this instance. */
    private readonly isStoreLost: () => boolean,
  ) {}

  /**
   * Stores the job. A job that is already there is accepted again.
   *
   * @param deadline monotonic milliseconds
   */
  public async submit(
    specification: JobSpecification,
    queue: Queue,
    deadline: number,
  ): Promise<SubmitAnswer> {
    if (this.board.stateOf(specification.id) !== undefined) {
      return { outcome: SubmitOutcome.accepted, reason: 'already known' };
    }
    if (this.isStoreLost()) {
      const reason = 'the store is known not to answer';
      return this.uncertain.has(specification.id)
        ? { outcome: SubmitOutcome.unknown, reason }
        : { outcome: SubmitOutcome.refused, reason, retryAfterMs: storeRetryMs };
    }
    const outlook = this.board.isFresh ? this.board.outlookOf(queue.name) : undefined;
    const admission = decideAdmission(specification, queue, outlook);
    if (!admission.isAccepted) {
      return this.refuse(specification.id, admission, deadline);
    }
    const stored: StoredJob = { specification, queue };
    const key = StoreKeys.job(specification.id);
    const transaction = {
      expect: [{ key, revision: absentRevision }],
      writes: [{ key, value: JSON.stringify(stored) }],
    };
    let mayBeStored = this.uncertain.has(specification.id);
    for (let call = 0; this.clock.monotonic() < deadline; call += 1) {
      const result = await this.store.commit(transaction, this.limit(deadline));
      if (result.isOk()) {
        return { outcome: SubmitOutcome.accepted, reason: describe(result) };
      }
      mayBeStored ||= result.error.kind !== CoordinationErrorKind.refused;
      if (!mayBeStored) {
        return {
          outcome: SubmitOutcome.refused,
          reason: describe(result),
          retryAfterMs: storeRetryMs,
        };
      }
      // Only a further call can tell whether the job is stored, and clients cannot send work that
      // may have run again by themselves.
      await this.pause(call, deadline);
    }
    this.uncertain.add(specification.id);
    return { outcome: SubmitOutcome.unknown, reason: 'store does not answer' };
  }

  // An earlier attempt may have been accepted elsewhere; then a refusal would not be true.
  private async refuse(
    id: string,
    { reason, retryAfterMs }: Extract<Admission, { isAccepted: false }>,
    deadline: number,
  ): Promise<SubmitAnswer> {
    for (let call = 0; this.clock.monotonic() < deadline; call += 1) {
      const found = await this.store.read(StoreKeys.job(id), this.limit(deadline));
      if (found.isOk() && found.value !== undefined) {
        return { outcome: SubmitOutcome.accepted, reason: 'already stored' };
      }
      // A write of ours without an answer may still be carried out.
      if (found.isOk() && !this.uncertain.has(id)) {
        return { outcome: SubmitOutcome.refused, reason, retryAfterMs };
      }
      await this.pause(call, deadline);
    }
    return { outcome: SubmitOutcome.unknown, reason: 'not certain that the job is not stored' };
  }

  public async stateOf(id: string, deadline: number): Promise<StateAnswer> {
    const known = this.board.stateOf(id);
    if (known !== undefined && (isFinal(known) || this.board.isFresh)) {
      const age = Math.round(this.board.ageMs);
      return { lookup: Lookup.found, state: known, source: `board, ${age} ms old` };
    }
    const progress = await this.store.read(StoreKeys.progress(id), this.limit(deadline));
    if (progress.isErr()) {
      return { lookup: Lookup.unknown, source: progress.error.message };
    }
    const record = parseRecord<ProgressRecord>(progress.value?.value);
    if (record !== undefined) {
      return { lookup: Lookup.found, state: record.state, source: 'stored progress' };
    }
    const job = await this.store.read(StoreKeys.job(id), this.limit(deadline));
    if (job.isErr()) {
      return { lookup: Lookup.unknown, source: job.error.message };
    }
    return job.value === undefined
      ? { lookup: Lookup.absent, source: 'not stored' }
      : { lookup: Lookup.found, state: JobState.queued, source: 'stored job' };
  }

  /** Stores that the job is cancelled. */
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
      const result = await this.store.commit(transaction, this.limit(deadline));
      if (result.isOk()) {
        return Lookup.found;
      }
      await this.pause(call, deadline);
    }
    return Lookup.unknown;
  }

  // Doubles with each call, and never lasts beyond the deadline.
  private async pause(call: number, deadline: number): Promise<void> {
    const leftMs = Math.max(0, deadline - this.clock.monotonic());
    await delay(Math.min(firstPauseMs * 2 ** call, maxPauseMs, leftMs));
  }

  private limit(deadline: number): number {
    return Math.min(deadline, this.clock.monotonic() + StorePace.callMs);
  }
}

function describe(result: Result<CommitResult, CoordinationError>): string {
  if (result.isErr()) {
    return result.error.message;
  }
  return result.value.isCommitted ? `revision ${result.value.revision}` : 'already stored';
}
