import type { Clock } from '@apricothoist/common';
import { isFinal } from '@apricothoist/dispatch';

import type { CoordinationStore } from './CoordinationStore.js';
import { absentRevision } from './CoordinationStore.js';
import { cancellationValue, StoreKeys } from './keys.js';
import { backOff, callDeadline } from './requestBackoff.js';
import type { CancelResult, StateResult } from './requestResults.js';
import { Lookup } from './requestResults.js';
import type { TombstoneResult, TombstoneWriter } from './TombstoneWriter.js';
import { TombstoneOutcome } from './TombstoneWriter.js';

export interface CancelRequest {
  readonly id: string;
  /** Client account, or queue where no account is known; see `TombstoneQueue`. */
  readonly client: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /** Whether the scheduling instance may be asked to cancel the job. */
  readonly mayForward: boolean;
}

/** Cancels jobs, also those whose submission is still on its way. */
export class JobCancellation {
  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly tombstones: TombstoneWriter,
    /** Result of the scheduling instance; undefined unless only it reaches the store. */
    private readonly forward: (request: CancelRequest) => Promise<CancelResult | undefined>,
  ) {}

  /** @param found state of the job */
  public async cancel(request: CancelRequest, found: StateResult): Promise<CancelResult> {
    if (found.lookup === Lookup.unknown) {
      return { lookup: Lookup.unknown, reason: found.source };
    }
    if (found.lookup === Lookup.absent) {
      return this.cancelAbsent(request);
    }
    return found.state !== undefined && isFinal(found.state)
      ? { lookup: Lookup.found, reason: 'ended' }
      : this.cancelStored(request);
  }

  private async cancelAbsent(request: CancelRequest): Promise<CancelResult> {
    const forwarded = await this.forward(request);
    const isRefused = forwarded?.retryAfterMs !== undefined;
    if (forwarded !== undefined && (isRefused || forwarded.lookup !== Lookup.unknown)) {
      return forwarded;
    }
    const { id, client, deadline } = request;
    const result = await this.tombstones.write(id, client, deadline);
    return this.resultHandlers[result.outcome](request, result);
  }

  private readonly resultHandlers: Record<
    TombstoneOutcome,
    (request: CancelRequest, result: TombstoneResult) => CancelResult | Promise<CancelResult>
  > = {
    [TombstoneOutcome.stored]: () => ({ lookup: Lookup.absent, reason: 'tombstone stored' }),
    [TombstoneOutcome.jobStored]: (request) => this.cancelStored(request),
    [TombstoneOutcome.refused]: (_request, { retryAfterMs = 0 }) => ({
      lookup: Lookup.unknown,
      reason: 'too many cancellations of jobs that are not stored',
      retryAfterMs,
    }),
    [TombstoneOutcome.unknown]: () => ({
      lookup: Lookup.unknown,
      reason: 'the store did not confirm the tombstone before the deadline',
    }),
  };

  private async cancelStored(request: CancelRequest): Promise<CancelResult> {
    const { id, deadline } = request;
    const key = StoreKeys.cancel(id);
    const transaction = {
      expect: [{ key, revision: absentRevision }],
      writes: [{ key, value: cancellationValue }],
    };
    for (let call = 0; this.clock.monotonic() < deadline; call += 1) {
      const forwarded = await this.forward(request);
      if (forwarded !== undefined && forwarded.lookup !== Lookup.unknown) {
        return forwarded;
      }
      const result = await this.store.commit(transaction, callDeadline(this.clock, deadline));
      if (result.isOk()) {
        return { lookup: Lookup.found, reason: 'cancellation stored' };
      }
      await backOff(this.clock, call, deadline);
    }
    return { lookup: Lookup.unknown, reason: 'the store did not answer before the deadline' };
  }
}
