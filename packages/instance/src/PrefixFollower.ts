import type { Clock, Event, LoopErrorHandler, Random } from '@apricothoist/common';
import { delay, Emitter, SupervisedLoop } from '@apricothoist/common';

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
  /** Store revision at which the items were read; some may be newer. */
  readonly revision: number;
  /** Whether these are all items below the prefix; other ones have been deleted by `revision`. */
  readonly isComplete: boolean;
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

  /**
   * Fires after each call that decides how far the items are known, with its error, if any; a
   * compacted history is not an error.
   */
  public readonly onCallEnd: Event<CoordinationError | undefined> = this.callEnded.event;

  private isStopped = false;

  /** Revision up to which the items are known; undefined if they have to be read. */
  private revision: number | undefined;

  private watchesSinceRead = 0;

  /** Whether a read is in progress beside the watch. */
  private isVerifying = false;

  private readonly loopName: string;

  private readonly loop: SupervisedLoop;

  private onError: LoopErrorHandler = () => {};

  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly prefix: string,
    private readonly settings: FollowSettings,
  ) {
    this.loopName = `watch of ${prefix}`;
    this.loop = new SupervisedLoop(this.loopName, () => this.follow());
  }

  /** @param known revision up to which the items are known; undefined to read them first */
  public start(onError: LoopErrorHandler, known?: number): void {
    this.revision = known;
    this.onError = onError;
    this.loop.start((error, loop) => {
      // Items that a listener has failed to take over are delivered again.
      this.revision = undefined;
      onError(error, loop);
    });
  }

  private async follow(): Promise<void> {
    const { revision } = this;
    if (revision !== undefined && this.watchesSinceRead >= this.settings.watchesPerRead) {
      this.verify();
    }
    const hasSucceeded = await (revision === undefined ? this.read() : this.watch(revision));
    if (!hasSucceeded && !this.isStopped) {
      await delay(this.random.jitter(StoreTiming.retryMs, StoreTiming.retryJitter));
    }
  }

  // Reads everything while the watch goes on: the read may take as long as several watches.
  private verify(): void {
    if (!this.isVerifying) {
      this.isVerifying = true;
      this.readAll()
        .catch((error: unknown) => this.onError(error, this.loopName))
        .finally(() => {
          this.isVerifying = false;
        });
    }
  }

  private async read(): Promise<boolean> {
    const error = await this.readAll();
    if (!this.isStopped) {
      this.callEnded.fire(error);
    }
    return error === undefined;
  }

  private async readAll(): Promise<CoordinationError | undefined> {
    const requestedAt = this.clock.monotonic();
    const listed = await this.store.list(this.prefix, requestedAt + StoreTiming.callTimeoutMs);
    if (listed.isErr() || this.isStopped) {
      return listed.isErr() ? listed.error : undefined;
    }
    this.watchesSinceRead = 0;
    // The watch may have gone further meanwhile.
    this.revision = Math.max(this.revision ?? 0, listed.value.revision);
    this.itemsReceived.fire({ ...listed.value, requestedAt, isComplete: true });
    return undefined;
  }

  // After a failed watch everything is read: a watch may hear nothing for a second before the history
  // is dropped, and only a watch that lasts longer is certain to be cut then.
  private async watch(revision: number): Promise<boolean> {
    const requestedAt = this.clock.monotonic();
    const { watchMs } = this.settings;
    const deadline = requestedAt + watchMs + StoreTiming.callTimeoutMs;
    const changes = await this.store.watch(this.prefix, revision, watchMs, deadline);
    if (this.isStopped) {
      return false;
    }
    const isCompacted = changes.isErr() && changes.error.kind === CoordinationErrorKind.compacted;
    this.callEnded.fire(changes.isErr() && !isCompacted ? changes.error : undefined);
    if (changes.isErr()) {
      this.revision = undefined;
      return false;
    }
    this.watchesSinceRead += 1;
    this.revision = changes.value.revision;
    this.itemsReceived.fire({ ...changes.value, requestedAt, isComplete: false });
    return true;
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
    this.loop[Symbol.dispose]();
    this.itemsReceived[Symbol.dispose]();
    this.callEnded[Symbol.dispose]();
  }
}
