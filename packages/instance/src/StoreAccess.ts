import type { Clock, Random } from '@apricothoist/common';
import type { EventLog } from '@apricothoist/telemetry';

import type { CoordinationStore } from './CoordinationStore.js';
import { JobEvents } from './events.js';
import { feedRequestVersion } from './FeedRequest.js';
import { HolderRequests } from './HolderRequests.js';
import type { HolderService } from './JobStatusCache.js';
import { StoreMonitor } from './StoreMonitor.js';
import type { StoreOutlook } from './StoreOutlook.js';
import { ObservedOutlook } from './StoreOutlook.js';

export interface StoreAccessServices {
  readonly store: CoordinationStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  /** Whether this instance is the scheduling instance. */
  readonly isScheduling: () => boolean;
}

/** The store as this instance reaches it: directly, or through the scheduling instance. */
export class StoreAccess implements Disposable {
  public readonly monitor: StoreMonitor;

  public readonly requests: HolderRequests;

  public readonly outlook: StoreOutlook;

  public constructor(
    private readonly services: StoreAccessServices,
    onError: (error: unknown) => void,
  ) {
    const { store, clock, random, log } = services;
    this.monitor = new StoreMonitor(store, clock, onError);
    this.requests = new HolderRequests(clock, (body, forwarding, tookMs) =>
      log.emit(JobEvents.requestForwarded, {
        operation: body.operation,
        job: 'id' in body ? body.id : body.specification.id,
        outcome: forwarding.outcome,
        reason: 'reason' in forwarding ? forwarding.reason : undefined,
        tookMs: Math.round(tookMs),
      }),
    );
    this.outlook = new ObservedOutlook(this.monitor, this.requests, clock, random);
    this.monitor.onChange((isOutOfReach) =>
      log.emit(isOutOfReach ? JobEvents.storeUnavailable : JobEvents.storeAvailable, {
        reach: this.outlook.reach,
        message: isOutOfReach ? this.monitor.lastFailure : undefined,
      }),
    );
  }

  /** Store whose calls are observed. */
  public get store(): CoordinationStore {
    return this.monitor.store;
  }

  /** Why this instance should not store anything for others now; undefined if it can. */
  public findObstacle(): string | undefined {
    if (!this.services.isScheduling()) {
      return 'not the scheduling instance';
    }
    const { reachability } = this.monitor;
    return reachability.isOutOfReach || reachability.isSuspect(this.services.clock.monotonic())
      ? 'the store does not answer the scheduling instance'
      : undefined;
  }

  /** What this instance tells its followers as the scheduling instance. */
  public describeService(): HolderService {
    return {
      isStoreReachable: this.findObstacle() === undefined,
      requestVersion: feedRequestVersion,
    };
  }

  public get status(): Readonly<Record<string, number>> {
    const { answered, notTaken, lost } = this.requests.counts;
    return {
      store_out_of_reach: this.outlook.isOutOfReach ? 1 : 0,
      requests_forwarded_answered: answered,
      requests_forwarded_not_taken: notTaken,
      requests_forwarded_lost: lost,
    };
  }

  public [Symbol.dispose](): void {
    this.requests.disconnect('instance stops');
    this.monitor[Symbol.dispose]();
  }
}
