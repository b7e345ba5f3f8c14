import type { Clock, Event } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';

import type { CoordinationStore } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import { ObservedStore } from './ObservedStore.js';
import { StoreReachability } from './StoreReachability.js';
import { StoreTiming } from './StoreTiming.js';

/** Milliseconds between checks for silence: small against the silence that counts as an outage. */
const checkIntervalMs = 20;
/** Probes that may be open: as many as are evidence of an outage. */
const maxOpenProbes = 2;

/** Observes all store calls of the instance and probes the store while it is silent. */
export class StoreMonitor implements Disposable {
  private readonly changed = new Emitter<boolean>();

  /** Fires with true when the store gets out of reach, and with false when it answers again. */
  public readonly onChange: Event<boolean> = this.changed.event;

  public readonly reachability = new StoreReachability();

  /** The store; its calls are observed. */
  public readonly store: CoordinationStore;

  /** Message of the last call that failed. */
  public lastFailure: string | undefined;

  private wasOutOfReach = false;

  private openProbes = 0;

  private readonly timer: NodeJS.Timeout;

  public constructor(
    store: CoordinationStore,
    private readonly clock: Clock,
    private readonly onError: (error: unknown) => void,
  ) {
    this.store = new ObservedStore(store, this.reachability, clock, (error) => {
      this.lastFailure = error?.message ?? this.lastFailure;
      this.reportChange();
    });
    this.timer = setInterval(() => this.check(), checkIntervalMs);
  }

  private check(): void {
    const now = this.clock.monotonic();
    this.reachability.check(now);
    this.reportChange();
    if (this.openProbes < maxOpenProbes && this.reachability.takeProbe(now)) {
      this.probe(now + StoreTiming.callTimeoutMs).catch(this.onError);
    }
  }

  private async probe(deadline: number): Promise<void> {
    this.openProbes += 1;
    try {
      await this.store.read(StoreKeys.holder, deadline);
    } finally {
      this.openProbes -= 1;
    }
  }

  private reportChange(): void {
    const { isOutOfReach } = this.reachability;
    if (isOutOfReach !== this.wasOutOfReach) {
      this.wasOutOfReach = isOutOfReach;
      this.changed.fire(isOutOfReach);
    }
  }

  public [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.changed[Symbol.dispose]();
  }
}
