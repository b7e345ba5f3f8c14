import type { Clock, Event, LoopErrorHandler, Random } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type { Result } from 'neverthrow';

import type { CoordinationError, CoordinationStore, StoredItem } from './CoordinationStore.js';
import type { OperatorConfiguration } from './OperatorConfiguration.js';
import type { FollowedItems } from './PrefixFollower.js';
import { PrefixFollower } from './PrefixFollower.js';

/**
 * Milliseconds that a watch waits. Twice this and two responses stay below the age at which the
 * instance reports not ready; it exceeds the one second for which a watch may miss changes.
 */
const watchMs = 1_050;
/** Watches between full reads, which cost as much as the configuration is large. */
const watchesPerRead = 16;

/** Follows the operator configuration in the store and tracks its age. */
export class ConfigurationFollower implements Disposable {
  private readonly applied = new Emitter<OperatorConfiguration>();

  public readonly onApply: Event<OperatorConfiguration> = this.applied.event;

  private readonly unreadable = new Emitter<string>();

  public readonly onUnreadable: Event<string> = this.unreadable.event;

  private readonly follower: PrefixFollower;

  /** Fires for all items below the prefix, of which the configuration is one. */
  public readonly onItems: Event<FollowedItems>;

  /** Fires after each call with its error, if any. */
  public readonly onCallEnd: Event<CoordinationError | undefined>;

  private configuration: OperatorConfiguration | undefined;

  private currentBytes = 0;

  /** Store revision of the value that was decoded last; a large one takes long to decode. */
  private decodedRevision = 0;

  /** Monotonic milliseconds; every change acknowledged before this time is known. */
  private confirmedAt = -Infinity;

  /**
   * @param prefix prefix of the operator's keys, which are followed with one watch
   * @param key store key of the configuration
   * @param decode decodes the stored value
   */
  public constructor(
    store: CoordinationStore,
    private readonly clock: Clock,
    random: Random,
    prefix: string,
    private readonly key: string,
    private readonly decode: (value: string) => Result<OperatorConfiguration, Error>,
  ) {
    const settings = { watchMs, watchesPerRead };
    this.follower = new PrefixFollower(store, clock, random, prefix, settings);
    this.onItems = this.follower.onItems;
    this.onCallEnd = this.follower.onCallEnd;
    this.follower.onItems(({ items, requestedAt }) => {
      this.apply(items);
      this.confirm(requestedAt);
    });
  }

  public get current(): OperatorConfiguration | undefined {
    return this.configuration;
  }

  /** Size of the stored value of the current configuration in bytes; 0 if there is none. */
  public get sizeBytes(): number {
    return this.currentBytes;
  }

  /**
   * Milliseconds for which a newer configuration may have been in effect without being known here.
   */
  public get ageMs(): number {
    return this.clock.monotonic() - this.confirmedAt;
  }

  public start(onError: LoopErrorHandler): void {
    this.follower.start(onError);
  }

  private confirm(requestedAt: number): void {
    if (this.configuration !== undefined) {
      this.confirmedAt = Math.max(this.confirmedAt, requestedAt);
    }
  }

  private apply(items: readonly StoredItem[]): void {
    items.forEach(({ key, value, revision }) => {
      if (key !== this.key || value === undefined || revision === this.decodedRevision) {
        return;
      }
      this.decodedRevision = revision;
      const decoded = this.decode(value);
      if (decoded.isErr()) {
        this.unreadable.fire(decoded.error.message);
        return;
      }
      const isNewer = decoded.value.version > (this.configuration?.version ?? -1);
      if (isNewer) {
        this.configuration = decoded.value;
        this.currentBytes = Buffer.byteLength(value);
        this.applied.fire(decoded.value);
      }
    });
  }

  public [Symbol.dispose](): void {
    this.follower[Symbol.dispose]();
    this.applied[Symbol.dispose]();
    this.unreadable[Symbol.dispose]();
  }
}
