import type { Clock, Event, Random } from '@apricothoist/common';
import { delay, Emitter } from '@apricothoist/common';

import type { CoordinationError, CoordinationStore, StoredItem } from './CoordinationStore.js';
import { CoordinationErrorKind } from './CoordinationStore.js';
import { StoreTiming } from './StoreTiming.js';

/** Items that one call returned. */
export interface FollowedItems {
  /** Changed items, or all of them; items may be repeated. */
  readonly items: readonly StoredItem[];
  /**
   * Monotonic milliseconds; the items so far include every change acknowledged before this time.
   */
  readonly requestedAt: number;
}

export interface FollowSettings {
  /** Milliseconds that a watch waits; an unresponsive connection is detected soon after. */
  readonly watchMs: number;
  /** Watches between full reads, which recover changes that a watch missed; Infinity for none. */
  readonly watchesPerRead: number;
}

/** Follows all keys below a prefix: reads them once, then watches for changes in a loop. */
export class PrefixFollower implements Disposable {
  private readonly itemsReceived = new Emitter<FollowedItems>();

  public readonly onItems: Event<FollowedItems> = this.itemsReceived.event;

  private readonly callEnded = new Emitter<CoordinationError | undefined>();

  /** Fires after each call with its error, if any; a compacted history is not an error. */
  public readonly onCallEnd: Event<CoordinationError | undefined> = this.callEnded.event;

  private isStopped = false;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly prefix: string,
    private readonly settings: FollowSettings,
  ) {}

  /** @param known revision up to which the items are known; undefined to read them first */
  public start(onError: (error: unknown) => void, known?: number): void {
    this.follow(known).catch(onError);
  }

  private async follow(known: number | undefined): Promise<void> {
    let revision = known;
    let watches = 0;
    while (!this.isStopped) {
      const isRead = revision === undefined || watches >= this.settings.watchesPerRead;
      revision = await (isRead ? this.read() : this.watch(revision as number));
      watches = isRead ? 0 : watches + 1;
      if (revision === undefined && !this.isStopped) {
        await delay(this.random.jitter(StoreTiming.retryMs, StoreTiming.retryJitter));
      }
    }
  }

  private async read(): Promise<number | undefined> {
    const requestedAt = this.clock.monotonic();
    const listed = await this.store.list(this.prefix, requestedAt + StoreTiming.callTimeoutMs);
    if (this.isStopped) {
      return undefined;
    }
    this.callEnded.fire(listed.isErr() ? listed.error : undefined);
    if (listed.isErr()) {
      return undefined;
    }
    this.itemsReceived.fire({ items: listed.value.items, requestedAt });
    return listed.value.revision;
  }

  private async watch(revision: number): Promise<number | undefined> {
    const requestedAt = this.clock.monotonic();
    const { watchMs } = this.settings;
    const deadline = requestedAt + watchMs + StoreTiming.callTimeoutMs;
    const changes = await this.store.watch(this.prefix, revision, watchMs, deadline);
    if (this.isStopped) {
      return undefined;
    }
    const isCompacted = changes.isErr() && changes.error.kind === CoordinationErrorKind.compacted;
    this.callEnded.fire(changes.isErr() && !isCompacted ? changes.error : undefined);
    if (changes.isErr()) {
      return undefined;
    }
    this.itemsReceived.fire({ items: changes.value.items, requestedAt });
    return changes.value.revision;
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
    this.itemsReceived[Symbol.dispose]();
    this.callEnded[Symbol.dispose]();
  }
}
