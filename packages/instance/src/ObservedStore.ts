import type { Clock } from '@apricothoist/common';
import type { Result } from 'neverthrow';

import type { CoordinationError, CoordinationStore } from './CoordinationStore.js';
import { CoordinationErrorKind } from './CoordinationStore.js';
import type { ObservedCall, StoreReachability } from './StoreReachability.js';
import { CallOutcome } from './StoreReachability.js';

/** Kinds that are answers: the store was reached, whatever it answered. */
const outcomeByKind: Record<CoordinationErrorKind, CallOutcome> = {
  [CoordinationErrorKind.refused]: CallOutcome.refused,
  [CoordinationErrorKind.unanswered]: CallOutcome.unanswered,
  [CoordinationErrorKind.compacted]: CallOutcome.answered,
  [CoordinationErrorKind.leaseEnded]: CallOutcome.answered,
  [CoordinationErrorKind.malformed]: CallOutcome.answered,
};

/** Coordination store whose calls are recorded as evidence of whether it can be reached. */
export class ObservedStore implements CoordinationStore {
  public constructor(
    private readonly store: CoordinationStore,
    private readonly reachability: StoreReachability,
    private readonly clock: Clock,
    /** Called after each call. */
    private readonly onCallEnd: (error: CoordinationError | undefined) => void,
  ) {}

  public get maxTransactionEntries(): number {
    return this.store.maxTransactionEntries;
  }

  public readonly read: CoordinationStore['read'] = (key, deadline) =>
    this.observe(this.begin(), this.store.read(key, deadline));

  public readonly list: CoordinationStore['list'] = (prefix, deadline) =>
    this.observe(this.begin(0, true), this.store.list(prefix, deadline));

  public readonly listPage: CoordinationStore['listPage'] = (prefix, after, deadline) =>
    this.observe(this.begin(0, true), this.store.listPage(prefix, after, deadline));

  public readonly watch: CoordinationStore['watch'] = (prefix, after, waitMs, deadline) =>
    this.observe(this.begin(waitMs), this.store.watch(prefix, after, waitMs, deadline));

  public readonly commit: CoordinationStore['commit'] = (transaction, deadline) =>
    this.observe(this.begin(), this.store.commit(transaction, deadline));

  public readonly grantLease: CoordinationStore['grantLease'] = (ttlMs, deadline) =>
    this.observe(this.begin(), this.store.grantLease(ttlMs, deadline));

  public readonly renewLease: CoordinationStore['renewLease'] = (lease, deadline) =>
    this.observe(this.begin(), this.store.renewLease(lease, deadline));

  public readonly endLease: CoordinationStore['endLease'] = (lease, deadline) =>
    this.observe(this.begin(), this.store.endLease(lease, deadline));

  private begin(waitMs = 0, isSizeDependent = false): ObservedCall {
    return this.reachability.begin(this.clock.monotonic(), waitMs, isSizeDependent);
  }

  private async observe<T>(
    call: ObservedCall,
    response: Promise<Result<T, CoordinationError>>,
  ): Promise<Result<T, CoordinationError>> {
    const result = await response;
    const outcome = result.isOk() ? CallOutcome.answered : outcomeByKind[result.error.kind];
    this.reachability.end(call, outcome, this.clock.monotonic());
    this.onCallEnd(result.isErr() ? result.error : undefined);
    return result;
  }
}
