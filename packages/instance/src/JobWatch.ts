import type { Clock, Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';

import type { CoordinationStore, StoredItem } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';

const watchMs = 1_500;
const answerMs = 700;
const retryMs = 100;
const retrySpread = 0.5;

/** Follows the jobs that instances accept and cancel, on behalf of the scheduling instance. */
export class JobWatch implements Disposable {
  private isStopped = false;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    /** Takes items in the order of their revisions; some may come again. */
    private readonly take: (items: readonly StoredItem[]) => void,
  ) {}

  /** @param revision up to which the items are known */
  public start(revision: number, onError: (error: unknown) => void): void {
    this.follow(revision).catch(onError);
  }

  private async follow(first: number): Promise<void> {
    let revision: number | undefined = first;
    while (!this.isStopped) {
      revision = await (revision === undefined ? this.relist() : this.watchAfter(revision));
      if (revision === undefined && !this.isStopped) {
        await delay(this.random.jitter(retryMs, retrySpread));
      }
    }
  }

  private async watchAfter(revision: number): Promise<number | undefined> {
    const deadline = this.clock.monotonic() + watchMs + answerMs;
    const changes = await this.store.watch(StoreKeys.jobPrefix, revision, watchMs, deadline);
    if (changes.isErr() || this.isStopped) {
      return undefined;
    }
    this.take(changes.value.items);
    return changes.value.revision;
  }

  private async relist(): Promise<number | undefined> {
    const listed = await this.store.list(StoreKeys.jobPrefix, this.clock.monotonic() + answerMs);
    if (listed.isErr() || this.isStopped) {
      return undefined;
    }
    this.take(listed.value.items);
    return listed.value.revision;
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
  }
}
