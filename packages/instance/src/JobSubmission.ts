import type { Clock } from '@apricothoist/common';
import type { Admission, JobSpecification, Queue } from '@apricothoist/dispatch';
import { decideAdmission } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { CommitResult, CoordinationError, CoordinationStore } from './CoordinationStore.js';
import { absentRevision, CoordinationErrorKind } from './CoordinationStore.js';
import { ForwardedOperation } from './FeedRequest.js';
import type { RequestForwarder } from './HolderRequests.js';
import { ForwardOutcome } from './HolderRequests.js';
import type { JobStatusCache } from './JobStatusCache.js';
import { StoreKeys } from './keys.js';
import { RecentSet } from './RecentSet.js';
import { backOff, callDeadline } from './requestBackoff.js';
import type { SubmitResult } from './requestResults.js';
import { SubmitOutcome } from './requestResults.js';
import type { StoredJob } from './StoredJob.js';
import type { StoreOutlook } from './StoreOutlook.js';
import { tombstoneRetentionMs } from './Tombstones.js';

/** Remembered submissions with unknown outcome: several minutes of a store outage at full load. */
const maxUnknownOutcomes = 1_000;

/**
 * Milliseconds for which a call is awaited after the store got out of reach: a store that refuses
 * calls refuses this one too, and then the outcome is certain.
 */
const refusalGraceMs = 30;

const storeUnavailable = 'the store is unavailable';

export interface SubmissionRequest {
  readonly specification: JobSpecification;
  readonly queue: Queue;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /** Whether the scheduling instance may be asked to store the job. */
  readonly mayForward: boolean;
}

/**
 * Stores submitted jobs, each with a conditional create, so that a job is accepted at most once
 * wherever and however often it is submitted.
 */
export class JobSubmission {
  /** Jobs that an earlier attempt here may have stored; refusing them could be wrong. */
  private readonly unknownOutcomes = new RecentSet(maxUnknownOutcomes);

  private cancelledCount = 0;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly statusCache: JobStatusCache,
    private readonly clock: Clock,
    private readonly outlook: StoreOutlook,
    private readonly forwarder: RequestForwarder,
  ) {}

  /** Submissions since the process started that a cancellation had overtaken. */
  public get cancelled(): number {
    return this.cancelledCount;
  }

  public async submit(request: SubmissionRequest): Promise<SubmitResult> {
    const { specification, queue, deadline } = request;
    const { id } = specification;
    if (this.statusCache.stateOf(id) !== undefined) {
      return { outcome: SubmitOutcome.accepted, reason: 'already known' };
    }
    // A write that is sent into an outage leaves the outcome unknown; one that is not sent is refused.
    await this.outlook.settle();
    if (this.outlook.isOutOfReach) {
      return this.submitWithoutStore(request, storeUnavailable);
    }
    const queueStatus = this.statusCache.isFresh
      ? this.statusCache.queueStatusOf(queue.name)
      : undefined;
    const admission = decideAdmission(specification, queue, queueStatus);
    if (!admission.isAccepted) {
      return this.refuseUnlessStored(id, admission, deadline);
    }
    return this.write(request);
  }

  private async write(request: SubmissionRequest): Promise<SubmitResult> {
    const { specification, queue, deadline } = request;
    const { id } = specification;
    const stored: StoredJob = { specification, queue };
    const key = StoreKeys.job(id);
    // A cancellation that has overtaken the submission has left a tombstone.
    const expect = [key, StoreKeys.cancel(id)].map((each) => ({
      key: each,
      revision: absentRevision,
    }));
    const transaction = { expect, writes: [{ key, value: JSON.stringify(stored) }] };
    for (let call = 0; this.clock.monotonic() < deadline; call += 1) {
      const result = await this.beforeOutage(
        this.store.commit(transaction, callDeadline(this.clock, deadline)),
      );
      const certain = result?.isOk() === true ? this.resultOf(id, result.value) : undefined;
      if (certain !== undefined) {
        return certain;
      }
      const error = result?.isErr() === true ? result.error : undefined;
      if (error?.kind !== CoordinationErrorKind.refused) {
        this.unknownOutcomes.add(id);
      } else if (!this.unknownOutcomes.has(id)) {
        return this.submitWithoutStore(request, error.message);
      }
      if (this.outlook.isOutOfReach) {
        const final = await this.submitWithoutStore(request, storeUnavailable);
        if (final.outcome !== SubmitOutcome.unknown || !this.outlook.mayEndBefore(deadline)) {
          return final;
        }
      }
      // Only another call can show whether the job is stored, and clients cannot safely resubmit
      // work that may already have run.
      await backOff(this.clock, call, deadline);
    }
    this.unknownOutcomes.add(id);
    return {
      outcome: SubmitOutcome.unknown,
      reason: 'the store did not answer before the deadline',
    };
  }

  /** Returns undefined if the answer does not tell which of the records exists. */
  private resultOf(id: string, result: CommitResult): SubmitResult | undefined {
    if (result.isCommitted) {
      return { outcome: SubmitOutcome.accepted, reason: `revision ${result.revision}` };
    }
    const keys = new Set(result.items.map(({ key }) => key));
    if (keys.has(StoreKeys.job(id))) {
      return { outcome: SubmitOutcome.accepted, reason: 'already stored' };
    }
    if (!keys.has(StoreKeys.cancel(id))) {
      return undefined;
    }
    this.cancelledCount += 1;
    // A write without an answer may be executed once the tombstone has been removed.
    const isUnknown = this.unknownOutcomes.has(id);
    return {
      outcome: isUnknown ? SubmitOutcome.unknown : SubmitOutcome.refused,
      reason: 'cancelled before it was stored',
      retryAfterMs: tombstoneRetentionMs,
    };
  }

  /** Final result while nothing can be learned from the store here. */
  private async submitWithoutStore(
    { specification, queue, deadline, mayForward }: SubmissionRequest,
    reason: string,
  ): Promise<SubmitResult> {
    const { id } = specification;
    const refused: SubmitResult = {
      outcome: SubmitOutcome.refused,
      reason,
      retryAfterMs: this.outlook.retryAfterMs(),
    };
    const result =
      mayForward && this.forwarder.isAvailable
        ? ((await this.forward(specification, queue, deadline)) ?? refused)
        : refused;
    if (result.outcome === SubmitOutcome.unknown) {
      this.unknownOutcomes.add(id);
    }
    // A write from here may still take effect after the scheduling instance has found no job. A
    // client that repeats its request at once would use up its attempts within the outage.
    const isUnknown = result.outcome !== SubmitOutcome.accepted && this.unknownOutcomes.has(id);
    return isUnknown
      ? {
          outcome: SubmitOutcome.unknown,
          reason: result.reason,
          retryAfterMs: this.outlook.retryAfterMs(),
        }
      : result;
  }

  /** Returns undefined if the scheduling instance did nothing for the job. */
  private async forward(
    specification: JobSpecification,
    queue: Queue,
    deadline: number,
  ): Promise<SubmitResult | undefined> {
    const body = { operation: ForwardedOperation.submit, specification, queue };
    const forwarding = await this.forwarder.forward(body, deadline);
    if (forwarding.outcome === ForwardOutcome.notTaken) {
      return undefined;
    }
    if (forwarding.outcome === ForwardOutcome.lost) {
      return { outcome: SubmitOutcome.unknown, reason: `forwarded: ${forwarding.reason}` };
    }
    return 'submit' in forwarding.result
      ? { ...forwarding.result.submit, reason: `forwarded: ${forwarding.result.submit.reason}` }
      : { outcome: SubmitOutcome.unknown, reason: 'forwarded: answer of another kind' };
  }

  // An earlier attempt may have been accepted by another instance; then a refusal would be wrong.
  private async refuseUnlessStored(
    id: string,
    { reason, retryAfterMs }: Extract<Admission, { isAccepted: false }>,
    deadline: number,
  ): Promise<SubmitResult> {
    for (let call = 0; this.clock.monotonic() < deadline; call += 1) {
      const found = await this.beforeOutage(
        this.store.read(StoreKeys.job(id), callDeadline(this.clock, deadline)),
      );
      if (found?.isOk() === true && found.value !== undefined) {
        return { outcome: SubmitOutcome.accepted, reason: 'already stored' };
      }
      // An unanswered write of this instance may still take effect.
      if (found?.isOk() === true && !this.unknownOutcomes.has(id)) {
        return { outcome: SubmitOutcome.refused, reason, retryAfterMs };
      }
      if (this.outlook.isOutOfReach && !this.outlook.mayEndBefore(deadline)) {
        break;
      }
      await backOff(this.clock, call, deadline);
    }
    return {
      outcome: SubmitOutcome.unknown,
      reason: 'the store did not confirm that the job is absent',
    };
  }

  /** Result of a call; undefined if the store gets out of reach before it is answered. */
  private beforeOutage<T>(
    call: Promise<Result<T, CoordinationError>>,
  ): Promise<Result<T, CoordinationError> | undefined> {
    return new Promise((resolve, reject) => {
      const subscription = this.outlook.onChange((isOutOfReach) => {
        if (isOutOfReach) {
          subscription.dispose();
          setTimeout(resolve, refusalGraceMs, undefined);
        }
      });
      call
        .then(resolve, reject)
        .finally(() => subscription.dispose())
        .catch(reject);
    });
  }
}
