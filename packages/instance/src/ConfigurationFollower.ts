import type { Clock, Event, Random } from '@apricothoist/common';
import { delay, Emitter } from '@apricothoist/common';
import type { Result } from 'neverthrow';

import type { CoordinationError, CoordinationStore, StoredItem } from './CoordinationStore.js';
import { CoordinationErrorKind } from './CoordinationStore.js';
import type { OperatorConfiguration } from './OperatorConfiguration.js';

/** Milliseconds that a watch waits; a silent connection is noticed soon after. */
const watchMs = 1_200;
/** Milliseconds beyond the wait for the answer itself. */
const answerMs = 700;
const retryMs = 150;
const retrySpread = 0.5;
/** Watches between two full reads, in case a watch misses a change. */
const watchesPerRead = 8;

/** Keeps the operators' configuration, and knows how old the knowledge is. */
export class ConfigurationFollower implements Disposable {
  private readonly adopted = new Emitter<OperatorConfiguration>();

  public readonly onAdopt: Event<OperatorConfiguration> = this.adopted.event;

  private readonly unreadable = new Emitter<string>();

  public readonly onUnreadable: Event<string> = this.unreadable.event;

  private readonly answered = new Emitter<CoordinationError | undefined>();

  /** Fires after each call with its error, if any. */
  public readonly onAnswer: Event<CoordinationError | undefined> = this.answered.event;

  private configuration: OperatorConfiguration | undefined;

  /** Monotonic milliseconds: every change acknowledged before is known. */
  private confirmedAt = -Infinity;

  private isStopped = false;

  /**
   * @param key where the operators keep it
   * @param decode reads the value
   */
  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly key: string,
    private readonly decode: (value: string) => Result<OperatorConfiguration, Error>,
  ) {}

  public get current(): OperatorConfiguration | undefined {
    return this.configuration;
  }

  /** Milliseconds for which a newer configuration may have been in force unknown to us. */
  public get ageMs(): number {
    return this.clock.monotonic() - this.confirmedAt;
  }

  public start(): void {
    this.follow().catch((error: unknown) => {
      this.unreadable.fire(`configuration is not followed any more: ${String(error)}`);
    });
  }

  private async follow(): Promise<void> {
    let revision: number | undefined;
    let watches = 0;
    while (!this.isStopped) {
      if (revision === undefined || watches >= watchesPerRead) {
        revision = await this.readAll();
        watches = 0;
      } else {
        revision = await this.watchAfter(revision);
        watches += 1;
      }
      if (revision === undefined) {
        await delay(this.random.jitter(retryMs, retrySpread));
      }
    }
  }

  private async readAll(): Promise<number | undefined> {
    const askedAt = this.clock.monotonic();
    const listed = await this.store.list(this.key, askedAt + answerMs);
    this.answered.fire(listed.isErr() ? listed.error : undefined);
    if (listed.isErr()) {
      return undefined;
    }
    this.adopt(listed.value.items);
    this.confirm(askedAt);
    return listed.value.revision;
  }

  private async watchAfter(revision: number): Promise<number | undefined> {
    const askedAt = this.clock.monotonic();
    const deadline = askedAt + watchMs + answerMs;
    const changes = await this.store.watch(this.key, revision, watchMs, deadline);
    const isLost = changes.isErr() && changes.error.kind === CoordinationErrorKind.compacted;
    this.answered.fire(changes.isErr() && !isLost ? changes.error : undefined);
    if (changes.isErr()) {
      return undefined;
    }
    this.adopt(changes.value.items);
    this.confirm(askedAt);
    return changes.value.revision;
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
    this.isStopped = true;
    this.adopted[Symbol.dispose]();
    this.unreadable[Symbol.dispose]();
    this.answered[Symbol.dispose]();
  }
}
