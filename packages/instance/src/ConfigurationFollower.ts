import type { Clock, Event, Random } from '@apricothoist/common';
import { Emitter, messageOf } from '@apricothoist/common';
import type { Result } from 'neverthrow';

import type { CoordinationError, CoordinationStore, StoredItem } from './CoordinationStore.js';
import type { OperatorConfiguration } from './OperatorConfiguration.js';
import { PrefixFollower } from './PrefixFollower.js';

/**
 * Milliseconds that a watch waits: with the answer well below two seconds, in which a change has to
 * be in force; and longer than the second for which a watch may miss changes.
 */
const watchMs = 1_200;
const watchesPerRead = 8;

/** Keeps the operators' configuration, and knows how old the knowledge is. */
export class ConfigurationFollower implements Disposable {
  private readonly adopted = new Emitter<OperatorConfiguration>();

  public readonly onAdopt: Event<OperatorConfiguration> = this.adopted.event;

  private readonly unreadable = new Emitter<string>();

  public readonly onUnreadable: Event<string> = this.unreadable.event;

  private readonly follower: PrefixFollower;

  /** Fires after each call with its error, if any. */
  public readonly onAnswer: Event<CoordinationError | undefined>;

  private configuration: OperatorConfiguration | undefined;

  /** Monotonic milliseconds: every change acknowledged before is known. */
  private confirmedAt = -Infinity;

  /**
   * @param key where the operators keep it
   * @param decode reads the value
   */
  public constructor(
    store: CoordinationStore,
    private readonly clock: Clock,
    random: Random,
    private readonly key: string,
    private readonly decode: (value: string) => Result<OperatorConfiguration, Error>,
  ) {
    const pace = { watchMs, watchesPerRead };
    this.follower = new PrefixFollower(store, clock, random, key, pace);
    this.onAnswer = this.follower.onAnswer;
    this.follower.onItems(({ items, askedAt }) => {
      this.adopt(items);
      this.confirm(askedAt);
    });
  }

  public get current(): OperatorConfiguration | undefined {
    return this.configuration;
  }

  /** Milliseconds for which a newer configuration may have been in force unknown to us. */
  public get ageMs(): number {
    return this.clock.monotonic() - this.confirmedAt;
  }

  public start(): void {
    this.follower.start((error) => {
      this.unreadable.fire(`the configuration is not followed any more: ${messageOf(error)}`);
    });
  }

  private confirm(askedAt: number): void {
    if (this.configuration !== undefined) {
      this.confirmedAt = Math.max(this.confirmedAt, askedAt);
    }
  }

  private adopt(items: readonly StoredItem[]): void {
    items.forEach(({ key, value }) => {
      if (key !== this.key || value === undefined) {
        return;
      }
      const decoded = this.decode(value);
      if (decoded.isErr()) {
        this.unreadable.fire(decoded.error.message);
        return;
      }
      const isNewer = decoded.value.version > (this.configuration?.version ?? -1);
      if (isNewer) {
        this.configuration = decoded.value;
        this.adopted.fire(decoded.value);
      }
    });
  }

  public [Symbol.dispose](): void {
    this.follower[Symbol.dispose]();
    this.adopted[Symbol.dispose]();
    this.unreadable[Symbol.dispose]();
  }
}
