import type { Clock } from '@apricothoist/common';
import { Urgency } from '@apricothoist/config';
import type { Queue, QueueAddOptions } from 'p-queue';

import type { RequestDescriptor } from './RequestDescriptor.js';

/** p-queue options of a queued request. The order is derived from the descriptor. */
export interface QueuedRequestOptions extends QueueAddOptions {
  readonly descriptor: RequestDescriptor;
}

type QueuedTask = () => Promise<unknown>;

interface Entry {
  readonly run: QueuedTask;
  readonly options: QueuedRequestOptions;
  readonly sequence: number;
}

/** Queued requests of one account and one urgency, oldest first. */
interface AccountQueue {
  readonly account: string;
  readonly entries: Entry[];
  /** Monotonic milliseconds of the last dequeue, or of the first enqueue into the empty queue. */
  lastProgressAt: number;
  /** Mean time between dequeues while requests wait, in milliseconds; 0 before the first sample. */
  dequeueIntervalMs: number;
}

const urgencies = [Urgency.urgent, Urgency.normal, Urgency.batch] as const;
/** Every nth dequeue takes the request that has waited longest, regardless of its urgency. */
const agingInterval = 8;
/** Weight of the newest sample in the moving average of the dequeue interval. */
const smoothingFactor = 0.1;

/** Returns the weight of an account in weighted fair queueing. */
export type WeightOf = (account: string) => number;

/**
 * Queue class for p-queue: strict priority between urgencies (urgent, normal, batch) and weighted
 * fair queueing between the accounts of one urgency. Every eighth dequeue takes the request that
 * has waited longest, which prevents starvation.
 */
export class FairQueue implements Queue<QueuedTask, QueuedRequestOptions> {
  /** Queues by urgency, then by account. */
  private readonly accountQueues: Record<Urgency, Map<string, AccountQueue>> = {
    urgent: new Map(),
    normal: new Map(),
    batch: new Map(),
  };

  /** Number of dequeued requests divided by the weight, by account. */
  private readonly normalizedService = new Map<string, number>();

  private entryCount = 0;

  private sequence = 0;

  private dequeueCount = 0;

  /**
   * Highest normalized service at a dequeue. An account that was idle starts from here, so that it
   * has not accumulated credit.
   */
  private virtualTime = 0;

  public constructor(
    private readonly weightOf: WeightOf,
    private readonly clock: Clock,
  ) {}

  public get size(): number {
    return this.entryCount;
  }

  public filter(options: Readonly<Partial<QueuedRequestOptions>>): QueuedTask[] {
    const { descriptor } = options;
    return this.entries()
      .filter((entry) => descriptor === undefined || entry.options.descriptor === descriptor)
      .map((entry) => entry.run);
  }

  public enqueue(run: QueuedTask, options?: Partial<QueuedRequestOptions>): void {
    const descriptor = options?.descriptor;
    if (descriptor === undefined) {
      throw new TypeError('enqueue() requires a request descriptor in its options');
    }
    const accountQueue = this.accountQueueFor(descriptor);
    if (!this.hasQueuedRequests(descriptor.account)) {
      const previous = this.normalizedService.get(descriptor.account) ?? 0;
      this.normalizedService.set(descriptor.account, Math.max(previous, this.virtualTime));
    }
    const entry = { run, options: { ...options, descriptor }, sequence: this.sequence };
    this.sequence += 1;
    if (accountQueue.entries.length === 0) {
      accountQueue.lastProgressAt = this.clock.monotonic();
    }
    // Ordered by arrival, so that a request that is enqueued again after an endpoint was busy
    // resumes its former position.
    const position = accountQueue.entries.findLastIndex(
      (other) => other.options.descriptor.arrivedAt <= descriptor.arrivedAt,
    );
    accountQueue.entries.splice(position + 1, 0, entry);
    this.entryCount += 1;
  }

  public dequeue(): QueuedTask | undefined {
    if (this.entryCount === 0) {
      return undefined;
    }
    this.dequeueCount += 1;
    const accountQueue =
      this.dequeueCount % agingInterval === 0
        ? this.longestWaitingAccountQueue()
        : this.nextAccountQueue();
    return accountQueue === undefined ? undefined : this.dequeueFrom(accountQueue).run;
  }

  /** Removes a queued request without running it. */
  public removeRequest(descriptor: RequestDescriptor): void {
    const { entries } = this.accountQueueFor(descriptor);
    const position = entries.findIndex((entry) => entry.options.descriptor === descriptor);
    if (position >= 0) {
      entries.splice(position, 1);
      this.entryCount -= 1;
    }
  }

  public setPriority(): void {
    throw new TypeError(
      'setPriority() is not supported: the order is derived from the request descriptors',
    );
  }

  /** Number of queued requests of an account at this urgency or a higher one. */
  public backlog(account: string, urgency: Urgency): number {
    return urgencies
      .slice(0, urgencies.indexOf(urgency) + 1)
      .reduce((sum, item) => sum + (this.accountQueues[item].get(account)?.entries.length ?? 0), 0);
  }

  /**
   * Expected wait in milliseconds of the next request of the account, from the recent dequeue rate
   * of its queue; 0 if the queue is empty.
   */
  public observedWaitMs(account: string, urgency: Urgency): number {
    const accountQueue = this.accountQueues[urgency].get(account);
    return accountQueue === undefined
      ? 0
      : this.estimateWaitMs(accountQueue, accountQueue.entries.length);
  }

  /** Queued requests for which `isLate` returns true, given the expected wait of each. */
  public findLate(
    isLate: (descriptor: RequestDescriptor, waitMs: number) => boolean,
  ): RequestDescriptor[] {
    return urgencies.flatMap((urgency) =>
      [...this.accountQueues[urgency].values()].flatMap((accountQueue) =>
        accountQueue.entries
          .filter((entry, position) =>
            isLate(entry.options.descriptor, this.estimateWaitMs(accountQueue, position)),
          )
          .map((entry) => entry.options.descriptor),
      ),
    );
  }

  /** Number of queued requests of all accounts with a higher urgency than `urgency`. */
  public backlogOfHigherUrgency(urgency: Urgency): number {
    return urgencies
      .slice(0, urgencies.indexOf(urgency))
      .flatMap((item) => [...this.accountQueues[item].values()])
      .reduce((sum, accountQueue) => sum + accountQueue.entries.length, 0);
  }

  /** Accounts that have queued requests of this urgency. */
  public waitingAccounts(urgency: Urgency): string[] {
    return [...this.accountQueues[urgency].values()]
      .filter((accountQueue) => accountQueue.entries.length > 0)
      .map((accountQueue) => accountQueue.account);
  }

  private entries(): Entry[] {
    return urgencies.flatMap((urgency) =>
      [...this.accountQueues[urgency].values()].flatMap((accountQueue) => accountQueue.entries),
    );
  }

  private accountQueueFor(descriptor: RequestDescriptor): AccountQueue {
    const accountQueues = this.accountQueues[descriptor.urgency];
    const known = accountQueues.get(descriptor.account);
    if (known !== undefined) {
      return known;
    }
    const { account } = descriptor;
    const accountQueue: AccountQueue = {
      account,
      entries: [],
      lastProgressAt: 0,
      dequeueIntervalMs: 0,
    };
    accountQueues.set(account, accountQueue);
    return accountQueue;
  }

  private hasQueuedRequests(account: string): boolean {
    return urgencies.some(
      (urgency) => (this.accountQueues[urgency].get(account)?.entries.length ?? 0) > 0,
    );
  }

  private nextAccountQueue(): AccountQueue | undefined {
    for (const urgency of urgencies) {
      const accountQueue = this.leastServedAccountQueue(urgency);
      if (accountQueue !== undefined) {
        return accountQueue;
      }
    }
    return undefined;
  }

  private leastServedAccountQueue(urgency: Urgency): AccountQueue | undefined {
    let best: AccountQueue | undefined;
    for (const accountQueue of this.accountQueues[urgency].values()) {
      const isBetter =
        best === undefined ||
        this.normalizedServiceOf(accountQueue) < this.normalizedServiceOf(best);
      if (accountQueue.entries.length > 0 && isBetter) {
        best = accountQueue;
      }
    }
    return best;
  }

  private longestWaitingAccountQueue(): AccountQueue | undefined {
    let best: AccountQueue | undefined;
    let bestArrival = Infinity;
    for (const urgency of urgencies) {
      for (const accountQueue of this.accountQueues[urgency].values()) {
        const arrivedAt = accountQueue.entries[0]?.options.descriptor.arrivedAt ?? Infinity;
        if (arrivedAt < bestArrival) {
          best = accountQueue;
          bestArrival = arrivedAt;
        }
      }
    }
    return best;
  }

  private normalizedServiceOf(accountQueue: AccountQueue): number {
    return this.normalizedService.get(accountQueue.account) ?? 0;
  }

  private estimateWaitMs(accountQueue: AccountQueue, position: number): number {
    const sinceLastProgress = this.clock.monotonic() - accountQueue.lastProgressAt;
    return accountQueue.entries.length === 0
      ? 0
      : Math.max(accountQueue.dequeueIntervalMs, sinceLastProgress) * position;
  }

  private recordDequeue(accountQueue: AccountQueue): void {
    const now = this.clock.monotonic();
    const weight = accountQueue.dequeueIntervalMs === 0 ? 1 : smoothingFactor;
    accountQueue.dequeueIntervalMs +=
      weight * (now - accountQueue.lastProgressAt - accountQueue.dequeueIntervalMs);
    accountQueue.lastProgressAt = now;
  }

  private dequeueFrom(accountQueue: AccountQueue): Entry {
    const entry = accountQueue.entries.shift();
    if (entry === undefined) {
      throw new RangeError(`no request of account "${accountQueue.account}" is queued`);
    }
    this.entryCount -= 1;
    this.recordDequeue(accountQueue);
    this.virtualTime = Math.max(this.virtualTime, this.normalizedServiceOf(accountQueue));
    const weight = Math.max(1, this.weightOf(accountQueue.account));
    this.normalizedService.set(
      accountQueue.account,
      this.normalizedServiceOf(accountQueue) + 1 / weight,
    );
    return entry;
  }
}
