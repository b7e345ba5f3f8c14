import type { Clock } from '@apricothoist/common';
import type { JobSpecification, Queue } from '@apricothoist/dispatch';
import { isFinal, JobState } from '@apricothoist/dispatch';

import type { CoordinationStore } from './CoordinationStore.js';
import { absentRevision } from './CoordinationStore.js';
import type { ForwardedRequest, ForwardedResult } from './FeedRequest.js';
import { ForwardedOperation } from './FeedRequest.js';
import type { RequestForwarder } from './HolderRequests.js';
import { ForwardOutcome } from './HolderRequests.js';
import type { JobStatusCache } from './JobStatusCache.js';
import { JobSubmission } from './JobSubmission.js';
import { StoreKeys } from './keys.js';
import { backOff, callDeadline } from './requestBackoff.js';
import type { StateResult, SubmitResult } from './requestResults.js';
import { Lookup } from './requestResults.js';
import { decodeRecord, progressStateSchema } from './storedRecords.js';
import type { StoreOutlook } from './StoreOutlook.js';
import { StoreReach } from './StoreReachability.js';

export interface RequestOptions {
  /** Whether the request may be sent to the scheduling instance; false if it came from another. */
  readonly mayForward: boolean;
}

const fromClient: RequestOptions = { mayForward: true };

/**
 * Age in milliseconds up to which a reported state is an answer although it is no longer recent.
 * Changes must be visible within three seconds, but there are none while the store is out of reach
 * for all.
 */
const maxReportedAgeMs: Record<StoreReach, number> = {
  [StoreReach.reachable]: 0,
  [StoreReach.slow]: 0,
  [StoreReach.outOfReachHere]: 3_000,
  [StoreReach.outOfReachForAll]: 8_000,
};

/** Submission, state queries and cancellation of jobs; runs on every instance. */
export class JobService {
  private readonly submission: JobSubmission;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly statusCache: JobStatusCache,
    private readonly clock: Clock,
    private readonly outlook: StoreOutlook,
    private readonly forwarder: RequestForwarder,
  ) {
    this.submission = new JobSubmission(store, statusCache, clock, outlook, forwarder);
  }

  /**
   * Stores the job. Submitting a job that is already stored is accepted.
   *
   * @param deadline monotonic milliseconds
   */
  public submit(
    specification: JobSpecification,
    queue: Queue,
    deadline: number,
    { mayForward }: RequestOptions = fromClient,
  ): Promise<SubmitResult> {
    return this.submission.submit({ specification, queue, deadline, mayForward });
  }

  /** Milliseconds after which a client should retry; undefined while the store can be reached. */
  public get storeRetryAfterMs(): number | undefined {
    return this.outlook.isOutOfReach ? this.outlook.retryAfterMs() : undefined;
  }

  /** Tries both the status cache and the store until one has the state or the deadline passes. */
  public async stateOf(
    id: string,
    deadline: number,
    { mayForward }: RequestOptions = fromClient,
  ): Promise<StateResult> {
    let source = 'the deadline passed';
    for (let call = 0; ; call += 1) {
      const known = this.cachedStateOf(id);
      if (known !== undefined) {
        return known;
      }
      if (this.clock.monotonic() >= deadline) {
        return { lookup: Lookup.unknown, source };
      }
      const forwarded = await this.forward(
        { operation: ForwardedOperation.state, id },
        deadline,
        mayForward,
      );
      if (forwarded !== undefined && 'state' in forwarded) {
        const { state } = forwarded;
        if (state.lookup !== Lookup.unknown) {
          return { ...state, source: `forwarded: ${state.source}` };
        }
      }
      const stored = await this.readState(id, deadline);
      if (stored.lookup !== Lookup.unknown) {
        return stored;
      }
      source = stored.source;
      await backOff(this.clock, call, deadline);
    }
  }

  // A final state is valid at any age.
  private cachedStateOf(id: string): StateResult | undefined {
    const state = this.statusCache.stateOf(id);
    if (state === undefined) {
      return undefined;
    }
    const age = Math.round(this.statusCache.ageMs);
    if (isFinal(state) || this.statusCache.isFresh) {
      return { lookup: Lookup.found, state, source: `status cache, ${age} ms old` };
    }
    return age < maxReportedAgeMs[this.outlook.reach]
      ? { lookup: Lookup.found, state, source: `last reported, ${age} ms old, store out of reach` }
      : undefined;
  }

  private async readState(id: string, deadline: number): Promise<StateResult> {
    const progress = await this.store.read(
      StoreKeys.progress(id),
      callDeadline(this.clock, deadline),
    );
    if (progress.isErr()) {
      return { lookup: Lookup.unknown, source: progress.error.message };
    }
    const value = progress.value?.value;
    if (value !== undefined) {
      return decodeRecord(progressStateSchema, value).match(
        ({ state }): StateResult => ({ lookup: Lookup.found, state, source: 'stored progress' }),
        ({ message }) => ({ lookup: Lookup.unknown, source: `progress unreadable: ${message}` }),
      );
    }
    const job = await this.store.read(StoreKeys.job(id), callDeadline(this.clock, deadline));
    if (job.isErr()) {
      return { lookup: Lookup.unknown, source: job.error.message };
    }
    return job.value === undefined
      ? { lookup: Lookup.absent, source: 'not stored' }
      : { lookup: Lookup.found, state: JobState.queued, source: 'stored job' };
  }

  /** Stores a cancellation of the job. */
  public async cancel(
    id: string,
    deadline: number,
    { mayForward }: RequestOptions = fromClient,
  ): Promise<Lookup> {
    const found = await this.stateOf(id, deadline, { mayForward });
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
      const forwarded = await this.forward(
        { operation: ForwardedOperation.cancel, id },
        deadline,
        mayForward,
      );
      if (forwarded !== undefined && 'cancel' in forwarded && forwarded.cancel !== Lookup.unknown) {
        return forwarded.cancel;
      }
      const result = await this.store.commit(transaction, callDeadline(this.clock, deadline));
      if (result.isOk()) {
        return Lookup.found;
      }
      await backOff(this.clock, call, deadline);
    }
    return Lookup.unknown;
  }

  /** Result from the scheduling instance while the store is out of reach here only. */
  private async forward(
    request: ForwardedRequest,
    deadline: number,
    mayForward: boolean,
  ): Promise<ForwardedResult | undefined> {
    if (!mayForward || !this.outlook.isOutOfReach || !this.forwarder.isAvailable) {
      return undefined;
    }
    // Both operations are harmless when they are repeated, here or by the scheduling instance.
    const forwarding = await this.forwarder.forward(request, callDeadline(this.clock, deadline));
    return forwarding.outcome === ForwardOutcome.answered ? forwarding.result : undefined;
  }
}
