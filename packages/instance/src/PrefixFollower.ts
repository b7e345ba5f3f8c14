import type { Clock, Event, Random } from '@apricothoist/common';
import { delay, Emitter } from '@apricothoist/common';

import type { CoordinationError, CoordinationStore, StoredItem } from './CoordinationStore.js';
import { CoordinationErrorKind } from './CoordinationStore.js';
import { StorePace } from './StorePace.js';

/** What a call told. */
export interface FollowedItems {
  /** Items that changed, or all of them; some may come again. */
  readonly items: readonly StoredItem[];
  /** Monotonic milliseconds: every change acknowledged before is among what was told so far. */
  readonly askedAt: number;
}

export interface FollowPace {
  /** Milliseconds that a watch waits; a silent connection is noticed soon after. */
  readonly watchMs: number;
  /** Watches between two full reads, in case a watch misses a change; Infinity: none. */
  readonly watchesPerRead: number;
}

/** Follows all keys below a prefix: reads them, and then waits for changes again and again. */
export class PrefixFollower implements Disposable {
  private readonly told = new Emitter<FollowedItems>();

  public readonly onItems: Event<FollowedItems> = this.told.event;

  private readonly answered = new Emitter<CoordinationError | undefined>();

  /** Fires after each call with its error, if any; a forgotten history is none. */
  public readonly onAnswer: Event<CoordinationError | undefined> = this.answered.event;

  private isStopped = false;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly prefix: string,
    private readonly pace: FollowPace,
  ) {}

  /** @param known revision up to which the items are known; none: they are read first */
  public start(onError: (error: unknown) => void, known?: number): void {
    this.follow(known).catch(onError);
  }

  private async follow(known: number | undefined): Promise<void> {
    let revision = known;
    let watches = 0;
    while (!this.isStopped) {
      const isRead = revision === undefined || watches >= this.pace.watchesPerRead;
      revision = await (isRead ? this.read() : this.watch(revision as number));
      watches = isRead ? 0 : watches + 1;
      if (revision === undefined && !this.isStopped) {
        await delay(this.random.jitter(StorePace.retryMs, StorePace.retrySpread));
      }
    }
  }

  private async read(): Promise<number | undefined> {
    const askedAt = this.clock.monotonic();
    const listed = await this.store.list(this.prefix, askedAt + StorePace.callMs);
    if (this.isStopped) {
      return undefined;
    }
    this.answered.fire(listed.isErr() ? listed.error : undefined);
    if (listed.isErr()) {
      return undefined;
    }
    this.told.fire({ items: listed.value.items, askedAt });
    return listed.value.revision;
  }

  private async watch(revision: number): Promise<number | undefined> {
    const askedAt = this.clock.monotonic();
    const { watchMs } = this.pace;
    const deadline = askedAt + watchMs + StorePace.callMs;
    const changes = await this.store.watch(this.prefix, revision, watchMs, deadline);
    if (this.isStopped) {
      return undefined;
    }
    const isForgotten = changes.isErr() && changes.error.kind === CoordinationErrorKind.compacted;
    this.answered.fire(changes.isErr() && !isForgotten ? changes.error : undefined);
    if (changes.isErr()) {
      return undefined;
    }
    this.told.fire({ items: changes.value.items, askedAt });
    return changes.value.revision;
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
    this.told[Symbol.dispose]();
    this.answered[Symbol.dispose]();
  }
}
