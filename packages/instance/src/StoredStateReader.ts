import type { Clock } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { EventLog } from '@apricothoist/telemetry';
import type { Result } from 'neverthrow';

import type { CoordinationError, CoordinationStore, StoredItem } from './CoordinationStore.js';
import { JobEvents } from './events.js';
import { StoreKeys } from './keys.js';
import { PagedList } from './PagedList.js';
import type { RunnerList, RunnerLister } from './RunnerLister.js';

/** First timeout of a call in milliseconds: a page of a megabyte over a link of 6 Mbit/s. */
const firstTimeoutMs = 2_000;
/** Longest timeout of a call in milliseconds: the same page over less than 1 Mbit/s. */
const maxTimeoutMs = 16_000;
/** Factor of the timeout after a call that was late over a slow link. */
const timeoutFactor = 2;
/** Milliseconds before a failed call is retried. */
const retryMs = 100;
/** Milliseconds between two lines about failed calls. */
const failureLogIntervalMs = 1_000;
/** Age in milliseconds from which the runner list is read again: drains show within two seconds. */
const maxRunnersAgeMs = 700;

/** Parts of the stored state, as named in the log. */
const StoredPart = {
  runners: 'runners',
  jobs: 'jobs',
  progress: 'progress',
  learnedState: 'learned state',
} as const;
type StoredPart = (typeof StoredPart)[keyof typeof StoredPart];

type Call<T> = (deadline: number) => Promise<Result<T, CoordinationError>>;

/** What a scheduling instance needs to know before it schedules. */
export interface StoredState {
  readonly runners: RunnerList;
  readonly jobs: readonly StoredItem[];
  /** Revision from which changes of jobs must be watched. */
  readonly revision: number;
  readonly progress: readonly StoredItem[];
  readonly learnedState: Result<StoredItem | undefined, CoordinationError>;
  /** Bytes of jobs and progress. */
  readonly bytes: number;
  /** Number of calls, failed ones included. */
  readonly tries: number;
}

/** How far a load has come. */
export interface LoadStatus {
  readonly jobItems: number;
  readonly progressRecords: number;
  readonly failures: number;
  readonly lastFailure: string | undefined;
}

/**
 * Reads the stored state at a takeover, in parts of bounded size. A failed call repeats only its
 * own part: pages already read stay valid, as changes of jobs are watched from the first page on,
 * and progress is written only by the holder.
 */
export class StoredStateReader {
  private readonly jobs = new PagedList(StoreKeys.jobPrefix);

  private readonly progress = new PagedList(StoreKeys.progressPrefix);

  private tries = 0;

  private failures = 0;

  private lastFailure: string | undefined;

  private failureLoggedAt = -Infinity;

  /** Milliseconds; the link to the store is the same for all parts. */
  private timeoutMs = firstTimeoutMs;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly runnerLister: RunnerLister,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly isNeeded: () => boolean,
    /** Whether the store answers this instance, for example renewals of the lease. */
    private readonly isStoreReachable: () => boolean,
  ) {}

  public get status(): LoadStatus {
    const { failures, lastFailure } = this;
    return {
      jobItems: this.jobs.items.length,
      progressRecords: this.progress.items.length,
      failures,
      lastFailure,
    };
  }

  /** Resolves to undefined once the state is no longer needed. */
  public async read(): Promise<StoredState | undefined> {
    const [, firstLearnedState, firstRunners] = await Promise.all([
      this.readLists(),
      this.readLearnedState(),
      this.readRunners(),
    ]);
    // A successor can schedule without the learned state, so its tries are limited to two.
    const [learnedState, runners] = await Promise.all([
      firstLearnedState.isErr() ? this.readLearnedState() : firstLearnedState,
      this.isOutdated(firstRunners) ? this.readRunners() : firstRunners,
    ]);
    if (!this.isNeeded() || runners.isErr()) {
      return undefined;
    }
    return {
      runners: runners.value,
      jobs: this.jobs.items,
      revision: this.jobs.revision,
      progress: this.progress.items,
      learnedState,
      bytes: this.jobs.bytes + this.progress.bytes,
      tries: this.tries,
    };
  }

  // One page at a time, so that pages do not delay each other on a slow link.
  private async readLists(): Promise<void> {
    await this.readList(StoredPart.jobs, this.jobs);
    await this.readList(StoredPart.progress, this.progress);
  }

  private async readList(part: StoredPart, list: PagedList): Promise<void> {
    while (!list.isComplete && this.isNeeded()) {
      const page = await this.repeat(
        part,
        (deadline) => this.store.listPage(list.prefix, list.lastKey, deadline),
        list.items.length,
      );
      if (page.isOk()) {
        list.append(page.value);
      }
    }
  }

  private async readRunners(): Promise<Result<RunnerList, CoordinationError>> {
    return this.repeat(StoredPart.runners, (deadline) => this.runnerLister.list(deadline));
  }

  private isOutdated(runners: Result<RunnerList, CoordinationError>): boolean {
    return runners.isOk() && this.clock.monotonic() - runners.value.requestedAt > maxRunnersAgeMs;
  }

  private async readLearnedState(): Promise<Result<StoredItem | undefined, CoordinationError>> {
    return this.call(StoredPart.learnedState, (deadline) =>
      this.store.read(StoreKeys.learnedState, deadline),
    );
  }

  /** Repeats a call until it succeeds or the state is no longer needed. */
  private async repeat<T>(
    part: StoredPart,
    call: Call<T>,
    items = 0,
  ): Promise<Result<T, CoordinationError>> {
    let result = await this.call(part, call, items);
    while (result.isErr() && this.isNeeded()) {
      await delay(retryMs);
      result = await this.call(part, call, items);
    }
    return result;
  }

  private async call<T>(
    part: StoredPart,
    call: Call<T>,
    items = 0,
  ): Promise<Result<T, CoordinationError>> {
    const { timeoutMs } = this;
    const deadline = this.clock.monotonic() + timeoutMs;
    this.tries += 1;
    const result = await call(deadline);
    if (result.isErr()) {
      // A store that answers nothing is not slow; a long call would outlast its outage.
      if (this.clock.monotonic() >= deadline && this.isStoreReachable()) {
        const longerMs = Math.min(maxTimeoutMs, timeoutMs * timeoutFactor);
        this.timeoutMs = Math.max(this.timeoutMs, longerMs);
      }
      this.logFailure(part, result.error, timeoutMs, items);
    }
    return result;
  }

  private logFailure(
    part: StoredPart,
    { kind, message }: CoordinationError,
    timeoutMs: number,
    items: number,
  ): void {
    this.failures += 1;
    this.lastFailure = `${part}: ${message}`;
    const now = this.clock.monotonic();
    if (now - this.failureLoggedAt < failureLogIntervalMs) {
      return;
    }
    this.failureLoggedAt = now;
    const { failures } = this;
    this.log.emit(JobEvents.storedStateNotRead, {
      part,
      kind,
      message,
      timeoutMs,
      items,
      failures,
    });
  }
}
