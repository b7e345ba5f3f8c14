import type { Clock, Event, Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';

import type { RequestForwarder } from './HolderRequests.js';
import type { StoreMonitor } from './StoreMonitor.js';
import type { StoreReach } from './StoreReachability.js';
import { expectedOutageEnd, storeRetryAfterMs } from './storeRetry.js';

/** What a request may expect of the store. */
export interface StoreOutlook {
  readonly reach: StoreReach;
  readonly isOutOfReach: boolean;
  /** Fires with true when the store gets out of reach, and with false when it answers again. */
  readonly onChange: Event<boolean>;
  /** Waits while it is undecided whether the store is out of reach. */
  settle(): Promise<void>;
  /** Whether the current outage may end before a deadline in monotonic milliseconds. */
  mayEndBefore(deadline: number): boolean;
  /** Milliseconds after which a client whose submission was not accepted should retry. */
  retryAfterMs(): number;
}

/** Milliseconds between checks while it is undecided whether the store is out of reach. */
const settleIntervalMs = 20;

/** The outlook from the calls of this instance and the reports of the scheduling instance. */
export class ObservedOutlook implements StoreOutlook {
  public constructor(
    private readonly monitor: StoreMonitor,
    private readonly forwarder: RequestForwarder,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public get reach(): StoreReach {
    return this.monitor.reachability.reach(this.forwarder.report, this.clock.monotonic());
  }

  public get isOutOfReach(): boolean {
    return this.monitor.reachability.isOutOfReach;
  }

  public get onChange(): Event<boolean> {
    return this.monitor.onChange;
  }

  public async settle(): Promise<void> {
    while (this.monitor.reachability.isSuspect(this.clock.monotonic())) {
      await delay(settleIntervalMs);
    }
  }

  public mayEndBefore(deadline: number): boolean {
    const since = this.monitor.reachability.outOfReachSince;
    return since === undefined || expectedOutageEnd(since, this.clock.monotonic()) < deadline;
  }

  public retryAfterMs(): number {
    const { reachability } = this.monitor;
    const facts = {
      reach: this.reach,
      outOfReachSince: reachability.outOfReachSince,
      isReachedElsewhere: reachability.isReachedElsewhere(this.forwarder.report),
    };
    return storeRetryAfterMs(facts, this.clock.monotonic(), this.random.fraction());
  }
}
