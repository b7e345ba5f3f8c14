import type { Clock, Event, Random } from '@apricothoist/common';
import { Emitter, PeriodicTask } from '@apricothoist/common';

import type { BudgetedStore } from './BudgetedStore.js';
import type { StoreTransport } from './Store.js';

/**
 * Duration of one watch call in milliseconds; limits how long an unresponsive connection stays in
 * use.
 */
const watchWaitMs = 4_000;
/** Additional time in milliseconds for the response to a watch without changes. */
const watchGraceMs = 1_000;
const retryDelayMs = 500;
const retryJitter = 0.5;

/**
 * Watches a key prefix by long polling. Every call has its own deadline and its own connection, so
 * an unresponsive connection delays updates by one call at most.
 */
export class StoreWatch implements AsyncDisposable {
  private readonly changed = new Emitter<readonly string[]>();

  /** Fires with the changed keys. */
  public readonly onChange: Event<readonly string[]> = this.changed.event;

  private readonly unchanged = new Emitter<void>();

  /** Fires when the store responds that no key has changed. */
  public readonly onUnchanged: Event<void> = this.unchanged.event;

  private readonly task: PeriodicTask;

  private revision = 0;

  private nextDelayMs = 0;

  public constructor(
    private readonly store: BudgetedStore,
    private readonly transport: StoreTransport,
    private readonly prefix: string,
    private readonly clock: Clock,
    private readonly random: Random,
    onError: (error: unknown) => void,
  ) {
    this.task = new PeriodicTask(
      () => this.poll(),
      () => this.nextDelayMs,
      onError,
    );
  }

  public start(): void {
    this.task.start();
  }

  private async poll(): Promise<void> {
    this.nextDelayMs = this.random.jitter(retryDelayMs, retryJitter);
    if (!this.store.admitWatch()) {
      return;
    }
    const deadline = this.clock.monotonic() + watchWaitMs + watchGraceMs;
    const changes = await this.transport.watch(this.prefix, this.revision, deadline);
    this.store.recordWatch(changes);
    if (changes.isErr()) {
      return;
    }
    this.revision = changes.value.revision;
    this.nextDelayMs = 0;
    if (changes.value.keys.length > 0) {
      this.changed.fire(changes.value.keys);
    } else {
      this.unchanged.fire();
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.changed[Symbol.dispose]();
    this.unchanged[Symbol.dispose]();
    await this.task[Symbol.asyncDispose]();
  }
}
