import type { Clock } from '@apricothoist/common';
import type { JobSpecification, Queue } from '@apricothoist/dispatch';
import { isFinal, JobState } from '@apricothoist/dispatch';

import type { CoordinationStore } from './CoordinationStore.js';
import type { ForwardedRequest, ForwardedResult } from './FeedRequest.js';
import { ForwardedOperation } from './FeedRequest.js';
import type { RequestForwarder } from './HolderRequests.js';
import { ForwardOutcome } from './HolderRequests.js';
import type { CancelRequest } from './JobCancellation.js';
import { JobCancellation } from './JobCancellation.js';
import type { JobStatusCache } from './JobStatusCache.js';
import { JobSubmission } from './JobSubmission.js';
import { StoreKeys } from './keys.js';
import { backOff, callDeadline } from './requestBackoff.js';
import type { CancelResult, StateResult, SubmitResult } from './requestResults.js';
import { Lookup } from './requestResults.js';
import { decodeRecord, progressStateSchema } from './storedRecords.js';
import type { StoreOutlook } from './StoreOutlook.js';
import { StoreReach } from './StoreReachability.js';
import { TombstoneWriter } from './TombstoneWriter.js';

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
export class JobService implements Disposable {
  private readonly tombstones: TombstoneWriter;

  private readonly submission: JobSubmission;

  private readonly cancellation: JobCancellation;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly statusCache: JobStatusCache,
    private readonly clock: Clock,
    private readonly outlook: StoreOutlook,
    private readonly forwarder: RequestForwarder,
    onError: (error: unknown) => void = rethrow,
  ) {
    this.tombstones = new TombstoneWriter(store, clock, onError);
    this.cancellation = new JobCancellation(store, clock, this.tombstones, (request) =>
      this.forwardCancellation(request),
    );
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

  /** Values of the gauge `apricothoist_job_instance`; counted since the process started. */
  public get status(): Readonly<Record<string, number>> {
    return {
      tombstones_stored: this.tombstones.counts.stored,
      tombstones_refused: this.tombstones.counts.refused,
      submissions_cancelled_before: this.submission.cancelled,
    };
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

  /**
   * Cancels the job. If it is not stored, a submission that is still on its way is refused.
   *
   * @param client client account, or the queue where no account is known
   */
  public async cancel(
    id: string,
    client: string,
    deadline: number,
    { mayForward }: RequestOptions = fromClient,
  ): Promise<CancelResult> {
    const found = await this.stateOf(id, deadline, { mayForward });
    return this.cancellation.cancel({ id, client, deadline, mayForward }, found);
  }

  private async forwardCancellation({
    id,
    client,
    deadline,
    mayForward,
  }: CancelRequest): Promise<CancelResult | undefined> {
    const request = { operation: ForwardedOperation.cancel, id, client };
    const result = await this.forward(request, deadline, mayForward);
    if (result === undefined || !('cancel' in result)) {
      return undefined;
    }
    const { cancel: lookup, ...rest } = result;
    return { lookup, reason: `forwarded: ${lookup}`, ...rest };
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

  public [Symbol.dispose](): void {
    this.tombstones[Symbol.dispose]();
  }
}

function rethrow(error: unknown): void {
  throw error;
}
