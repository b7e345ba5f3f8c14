import process from 'node:process';

import type { Clock } from '@apricothoist/common';
import { delay, Random } from '@apricothoist/common';
import type { Queue } from '@apricothoist/dispatch';
import { JobState, RunCounters } from '@apricothoist/dispatch';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import {
  createSpecification,
  plainStep,
  replayBounds,
  replayQueues,
  VirtualCoordinationStore,
  VirtualLink,
} from '@apricothoist/testing';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';

import type { CoordinationStore, StoredItem, StoredItems } from './CoordinationStore.js';
import { CoordinationError, CoordinationErrorKind } from './CoordinationStore.js';
import { EvacuationRequests } from './EvacuationRequests.js';
import { JobEvents } from './events.js';
import { StoreKeys } from './keys.js';
import { LoadLimit } from './LoadLimit.js';
import type { RunnerClient } from './RunnerClient.js';
import { Scheduling } from './Scheduling.js';
import { createRegistry } from './testing/fakeRegistry.js';

const queue = replayQueues.urgent as Queue;
const bytesPerMegabit = 125_000;
/** Growth of a value on the wire, where it is base64-encoded. */
const base64Growth = 4 / 3;
/** Bytes of the other fields of an item on the wire. */
const itemFieldBytes = 60;
const payloadBytes = 1_000;
/** Milliseconds within which a successor must have loaded the stored jobs. */
const takeoverBoundMs = 15_000;
const token = 7;
/** RUN_LOG=info prints what a load costs. */
const isTraced = process.env.RUN_LOG === 'info';

interface LoggedEvent {
  readonly code: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

function unanswered(): Result<never, CoordinationError> {
  return err(new CoordinationError(CoordinationErrorKind.unanswered, 'no response'));
}

function jobIdOf(number: number): string {
  return `b${String(number).padStart(15, '0')}`;
}

function countWireBytes(items: readonly StoredItem[]): number {
  return items.reduce(
    (sum, { key, value = '' }) => sum + key.length + value.length * base64Growth + itemFieldBytes,
    0,
  );
}

interface TakeoverOptions {
  readonly jobs: number;
  readonly linkMegabits: number;
}

/** A successor that takes over many stored jobs behind a link of its own, in virtual time. */
class VirtualTakeover implements Disposable {
  private readonly timers = install({
    now: 1_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });

  public readonly store = new VirtualCoordinationStore();

  public readonly link: VirtualLink;

  public readonly events: LoggedEvent[] = [];

  /** Pages received, in order. */
  public readonly pages: string[] = [];

  /** Whether the answer with a page is lost. */
  public loses: (page: string) => boolean = () => false;

  /** Whether the lease could not be renewed. */
  public isInDoubt = false;

  /** Reasons for which the leadership was given to another instance. */
  public readonly transfers: string[] = [];

  public readonly scheduling: Scheduling;

  public constructor({ jobs, linkMegabits }: TakeoverOptions) {
    this.link = new VirtualLink((linkMegabits * bytesPerMegabit) / 1_000, () => this.timers.now);
    const progress = { state: JobState.completed, hasStarted: true, occurrences: 0, done: [] };
    for (let number = 1; number <= jobs; number += 1) {
      this.putJob(jobIdOf(number));
      const key = StoreKeys.progress(jobIdOf(number));
      this.store.put(key, JSON.stringify({ ...progress, units: [] }));
    }
    this.scheduling = this.createScheduling();
  }

  public get now(): number {
    return this.timers.now;
  }

  public get isLoaded(): boolean {
    return this.events.some(({ code }) => code === JobEvents.storedStateLoaded.code);
  }

  public putJob(id: string): void {
    const specification = {
      ...createSpecification(id, [plainStep]),
      payload: 'x'.repeat(payloadBytes),
      acceptedAt: this.now,
    };
    this.store.put(StoreKeys.job(id), JSON.stringify({ specification, queue }));
  }

  private createScheduling(): Scheduling {
    const clock: Clock = { monotonic: () => this.now, wall: () => this.now };
    const log = new EventLog('test', LogLevel.error, LogFormat.text, clock);
    log.emit = ({ code }, fields = {}) => this.events.push({ code, fields });
    return new Scheduling(
      {
        store: this.createStore(),
        registry: createRegistry(),
        runners: {} as RunnerClient,
        clock,
        steadyClock: clock,
        random: new Random(1),
        log,
        bounds: replayBounds,
        counters: new RunCounters(),
        evacuations: new EvacuationRequests('evacuate/'),
        token: () => (this.isInDoubt ? undefined : token),
        resign: () => {},
        transfer: (reason) => this.transfers.push(reason),
        loadLimit: new LoadLimit(),
        strongestCores: () => 1,
        publish: () => {},
      },
      token,
      undefined,
    );
  }

  private createStore(): CoordinationStore {
    const { store } = this;
    return {
      maxTransactionEntries: store.maxTransactionEntries,
      read: (key) => store.read(key),
      list: async (prefix, deadline) => this.carry(await store.list(prefix), deadline),
      listPage: async (prefix, after, deadline) => {
        const page = `${prefix} after ${after ?? ''}`;
        const isLost = this.loses(page);
        const listed = await this.carry(await store.listPage(prefix, after), deadline);
        if (isLost || listed.isErr()) {
          return unanswered();
        }
        this.pages.push(page);
        return listed;
      },
      watch: (prefix, after, waitMs) => store.watch(prefix, after, waitMs),
      commit: (transaction) => store.commit(transaction),
      grantLease: () => store.grantLease(),
      renewLease: (lease) => store.renewLease(lease),
      endLease: (lease) => store.endLease(lease),
    };
  }

  private async carry<T extends StoredItems>(
    listed: Result<T, CoordinationError>,
    deadline: number,
  ): Promise<Result<T, CoordinationError>> {
    const bytes = listed.isOk() ? countWireBytes(listed.value.items) : 0;
    return (await this.link.carry(bytes, deadline)) ? listed : unanswered();
  }

  /** Reads all items without the link. */
  public async readAll(): Promise<StoredItems> {
    const listed = this.store.list('');
    await this.run(this.store.callMs);
    return (await listed)._unsafeUnwrap();
  }

  /** Advances virtual time until the stored jobs are loaded; returns the time taken. */
  public async load(limitMs: number): Promise<number> {
    const startedAt = this.now;
    this.scheduling.start();
    while (!this.isLoaded && this.now < startedAt + limitMs) {
      await this.run(10);
    }
    return this.now - startedAt;
  }

  /** Advances virtual time. */
  public async run(milliseconds: number): Promise<void> {
    let hasElapsed = false;
    delay(milliseconds).then(
      () => {
        hasElapsed = true;
      },
      () => {},
    );
    while (!hasElapsed) {
      this.timers.next();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  public [Symbol.dispose](): void {
    this.scheduling[Symbol.dispose]();
    this.timers.uninstall();
  }
}

// Whole lists that are late were read again for ever, so that no run was started any more.
test.serial('a successor behind a slow link loads many stored jobs', async (t) => {
  using takeover = new VirtualTakeover({ jobs: 2_000, linkMegabits: 10 });
  await takeover.load(takeoverBoundMs);
  t.true(takeover.isLoaded, `${Math.round(takeover.link.carriedBytes / 1_000)} KB carried`);
  t.is(takeover.scheduling.dispatcher.state.jobs.size, 2_000);
});

// Progress is kept between tries: a fault in a late page must not cost the pages before it.
test.serial('pages read before a failed one are not read again', async (t) => {
  using takeover = new VirtualTakeover({ jobs: 2_000, linkMegabits: 10 });
  const lost = new Set<string>();
  takeover.loses = (page) => !lost.has(page) && lost.add(page).size > 0;
  await takeover.load(takeoverBoundMs);
  t.true(takeover.isLoaded);
  t.true(lost.size > 2, 'several pages of each list');
  t.deepEqual(takeover.pages, [...new Set(takeover.pages)]);
  const failures = takeover.events.filter(({ code }) => code === JobEvents.storedStateNotRead.code);
  t.true(failures.length > 0);
  const loaded = takeover.events.find(({ code }) => code === JobEvents.storedStateLoaded.code);
  t.is(loaded?.fields.jobs, 2_000);
  t.is(loaded?.fields.progressRecords, 2_000);
});

// The timeout of a page was the same however slow the link.
test.serial('a page that is late is given more time', async (t) => {
  using takeover = new VirtualTakeover({ jobs: 500, linkMegabits: 1 });
  await takeover.load(60_000);
  t.true(takeover.isLoaded);
  const timeouts = takeover.events
    .filter(({ code }) => code === JobEvents.storedStateNotRead.code)
    .map(({ fields }) => fields.timeoutMs);
  t.deepEqual(timeouts, [2_000, 4_000, 8_000]);
});

// Pages are no snapshot: the second page does not show a job whose key lies in the first one.
test.serial('a job accepted while pages are read is loaded', async (t) => {
  using takeover = new VirtualTakeover({ jobs: 2_000, linkMegabits: 10 });
  takeover.scheduling.start();
  while (takeover.pages.length === 0) {
    await takeover.run(10);
  }
  takeover.putJob('a000000000000001');
  await takeover.run(takeoverBoundMs);
  t.is(takeover.scheduling.dispatcher.state.jobs.size, 2_001);
});

test.serial('a successor that loses its term stops reading', async (t) => {
  using takeover = new VirtualTakeover({ jobs: 2_000, linkMegabits: 10 });
  takeover.scheduling.start();
  await takeover.run(1_000);
  takeover.scheduling[Symbol.dispose]();
  await takeover.run(2_000);
  const { length } = takeover.pages;
  await takeover.run(takeoverBoundMs);
  t.is(takeover.pages.length, length);
  t.false(takeover.isLoaded);
});

// While the store is out of reach the lease can be neither renewed nor ended, and others fail too.
test.serial('leadership is not transferred for a load while the lease is in doubt', async (t) => {
  using takeover = new VirtualTakeover({ jobs: 2_000, linkMegabits: 10 });
  takeover.isInDoubt = true;
  takeover.loses = () => true;
  takeover.scheduling.start();
  await takeover.run(takeoverBoundMs);
  t.deepEqual(takeover.transfers, []);
  takeover.isInDoubt = false;
  await takeover.run(takeoverBoundMs);
  t.is(takeover.transfers.length, 1);
});

// A store that answers nothing is not slow: a long timeout would outlast its outage.
test.serial('a read is not given more time while the store is out of reach', async (t) => {
  using takeover = new VirtualTakeover({ jobs: 800, linkMegabits: 0 });
  takeover.isInDoubt = true;
  takeover.scheduling.start();
  await takeover.run(takeoverBoundMs);
  takeover.isInDoubt = false;
  takeover.link.bytesPerMs = bytesPerMegabit;
  const reachableAt = takeover.now;
  while (!takeover.isLoaded && takeover.now < reachableAt + takeoverBoundMs) {
    await takeover.run(10);
  }
  t.true(takeover.now - reachableAt < 2_500, `${takeover.now - reachableAt} ms`);
});

// Run with RUN_LOG=info, the test prints the table of docs/CAPACITY.md.
test.serial('a takeover reads each stored byte once, whatever the number of jobs', async (t) => {
  for (const jobs of [800, 2_000, 10_000]) {
    for (const linkMegabits of [7, 10, 50, 200]) {
      using takeover = new VirtualTakeover({ jobs, linkMegabits });
      const bytes = countWireBytes((await takeover.readAll()).items);
      const tookMs = await takeover.load(60_000);
      const loaded = takeover.events.find(({ code }) => code === JobEvents.storedStateLoaded.code);
      t.is(loaded?.fields.jobs, jobs);
      t.is(Math.round(takeover.link.carriedBytes), Math.round(bytes));
      if (isTraced) {
        const { tries } = loaded?.fields ?? {};
        const isTransferred = takeover.transfers.length > 0;
        t.log({ jobs, linkMegabits, wireBytes: Math.round(bytes), tookMs, tries, isTransferred });
      }
    }
  }
});
