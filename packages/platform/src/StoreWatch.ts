import type { Clock, Event, Random } from '@apricothoist/common';
import { Emitter, PeriodicTask } from '@apricothoist/common';

import type { BudgetedStore } from './BudgetedStore.js';
import type { StoreTransport } from './Store.js';

/** Milliseconds that one watch call waits; a silent connection is noticed after this time. */
const watchWaitMs = 4_000;
/** Extra time for the answer of a watch that saw no change. */
const watchGraceMs = 1_000;
const retryDelayMs = 500;
const retrySpread = 0.5;

/**
 * One bounded watch over a key prefix. Every call has its own deadline and its own connection,
 * so a connection that went silent costs at most one wait.
 */
export class StoreWatch implements AsyncDisposable {
  private readonly changed = new Emitter<readonly string[]>();

  /** Fires with the keys that changed. */
  public readonly onChange: Event<readonly string[]> = this.changed.event;

  private readonly confirmed = new Emitter<void>();

  /** Fires when the store has answered that nothing changed. */
  public readonly onConfirm: Event<void> = this.confirmed.event;

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
    this.nextDelayMs = this.random.jitter(retryDelayMs, retrySpread);
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
      this.confirmed.fire();
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.changed[Symbol.dispose]();
    this.confirmed[Symbol.dispose]();
    await this.task[Symbol.asyncDispose]();
  }
}
