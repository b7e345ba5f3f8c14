import type { Clock } from '@apricothoist/common';
import { delay, Random } from '@apricothoist/common';
import type { Queue } from '@apricothoist/dispatch';
import { JobState } from '@apricothoist/dispatch';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import {
  createSpecification,
  plainStep,
  replayBounds,
  replayQueues,
  VirtualCoordinationStore,
} from '@apricothoist/testing';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok } from 'neverthrow';

import type { CoordinationStore } from './CoordinationStore.js';
import { CoordinationError, CoordinationErrorKind } from './CoordinationStore.js';
import { Election } from './Election.js';
import { JobEvents } from './events.js';
import { JobInstance } from './JobInstance.js';
import { StoreKeys } from './keys.js';
import { leaseTimingFor } from './LeaseTiming.js';
import { LoadLimit } from './LoadLimit.js';
import type { RunnerClient } from './RunnerClient.js';
import { createRegistry } from './testing/fakeRegistry.js';

const queue = replayQueues.urgent as Queue;
/** Milliseconds within which jobs must run again after a takeover. */
const takeoverBoundMs = 15_000;

interface LoggedEvent {
  readonly at: number;
  readonly code: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** An instance that takes over in virtual time; the test decides when it can read the jobs. */
class VirtualTakeover implements AsyncDisposable {
  private readonly timers = install({
    now: 1_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });

  private readonly startedAt = this.timers.now;

  private readonly clock: Clock = {
    monotonic: () => this.timers.now,
    wall: () => this.timers.now,
  };

  private readonly store = new VirtualCoordinationStore();

  private readonly events: LoggedEvent[] = [];

  public readonly instance: JobInstance;

  private readonly elections: Election[] = [];

  /** @param pageMs milliseconds until the answer with the jobs; Infinity if there is none */
  public constructor(private readonly pageMs: number) {
    const log = new EventLog('test', LogLevel.error, LogFormat.text, this.clock);
    log.emit = ({ code }, fields = {}) => this.events.push({ at: this.now, code, fields });
    this.instance = new JobInstance(
      {
        name: 'slow',
        feedHost: '127.0.0.1',
        feedPort: 0,
        cores: 1,
        revokeMs: 5_000,
        bounds: replayBounds,
      },
      {
        store: this.createStore(),
        registry: createRegistry(),
        runners: {} as RunnerClient,
        clock: this.clock,
        steadyClock: this.clock,
        random: new Random(1),
        log,
        operatorKeys: {
          prefix: 'operator/',
          configuration: 'operator/configuration',
          evacuations: 'operator/evacuate/',
          waves: 'wave/',
        },
        decodeConfiguration: () => err(new Error('no configuration')),
      },
    );
  }

  /** Milliseconds since the start. */
  public get now(): number {
    return this.timers.now - this.startedAt;
  }

  public eventsOf({ code }: { readonly code: number }): LoggedEvent[] {
    return this.events.filter((event) => event.code === code);
  }

  private createStore(): CoordinationStore {
    const { store } = this;
    const isLate = async (prefix: string, deadline: number): Promise<boolean> => {
      const waitMs = prefix === StoreKeys.jobPrefix ? this.pageMs : 0;
      const answersAt = this.timers.now + waitMs;
      await delay(Math.min(waitMs, deadline - this.timers.now));
      return answersAt > deadline;
    };
    const unanswered = new CoordinationError(CoordinationErrorKind.unanswered, 'no response');
    return {
      maxTransactionEntries: store.maxTransactionEntries,
      read: (key) => store.read(key),
      list: async (prefix, deadline) =>
        (await isLate(prefix, deadline)) ? err(unanswered) : store.list(prefix),
      listPage: async (prefix, after, deadline) =>
        (await isLate(prefix, deadline)) ? err(unanswered) : store.listPage(prefix, after),
      watch: (prefix, after, waitMs) => store.watch(prefix, after, waitMs),
      commit: (transaction) => store.commit(transaction),
      grantLease: () => store.grantLease(),
      renewLease: (lease) => store.renewLease(lease),
      endLease: (lease) => store.endLease(lease),
    };
  }

  public putJobs(count: number): void {
    for (let number = 1; number <= count; number += 1) {
      const id = String(number).padStart(16, '0');
      const specification = { ...createSpecification(id, [plainStep]), acceptedAt: 0 };
      this.store.put(StoreKeys.job(id), JSON.stringify({ specification, queue }));
      const ended = { state: JobState.completed, hasStarted: true, occurrences: 0, done: [] };
      this.store.put(StoreKeys.progress(id), JSON.stringify({ ...ended, units: [] }));
    }
  }

  /** Starts the instance, which finds the key free. */
  public async start(): Promise<void> {
    const started = this.instance.start();
    await this.run(1_000);
    await started;
  }

  /** Adds another instance that competes for the key. */
  public addCompetitor(): Election {
    const self = { instance: 'other', feedAddress: '127.0.0.1:1' };
    const random = new Random(2);
    const election = new Election(
      this.store,
      this.clock,
      random,
      self,
      () => false,
      async () => ok(0),
      leaseTimingFor(0),
    );
    this.elections.push(election);
    election.start((error) => {
      throw error;
    });
    return election;
  }

  /** Advances virtual time. */
  public async run(milliseconds: number): Promise<void> {
    await this.until(delay(milliseconds));
  }

  private async until(awaited: Promise<unknown>): Promise<void> {
    let hasEnded = false;
    const ended = awaited.finally(() => {
      hasEnded = true;
    });
    while (!hasEnded) {
      this.timers.next();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    await ended;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    for (const owned of [this.instance, ...this.elections]) {
      await this.until(owned[Symbol.asyncDispose]());
    }
    this.timers.uninstall();
  }
}

// The holder renewed its lease for the rest of the day without the jobs, and nothing ran.
test.serial('a holder that cannot load the stored jobs transfers the leadership', async (t) => {
  await using takeover = new VirtualTakeover(Infinity);
  await takeover.start();
  t.is(takeover.eventsOf(JobEvents.leadershipGained).length, 1);
  const competitor = takeover.addCompetitor();
  await takeover.run(takeoverBoundMs - takeover.now);
  t.not(competitor.token, undefined);
  const [ended] = takeover.eventsOf(JobEvents.leadershipLost);
  t.regex(String(ended?.fields.reason), /stored jobs/);
});

// A fixed limit would end each term of the only instance before its load is done.
test.serial('a load that takes long is completed when no other instance can do it', async (t) => {
  await using takeover = new VirtualTakeover(1_500);
  takeover.putJobs(4_000);
  await takeover.start();
  t.is(takeover.instance.status.scheduling, 1);
  t.is(takeover.instance.status.stored_state_loaded, 0);
  await takeover.run(40_000);
  const gained = takeover.eventsOf(JobEvents.leadershipGained);
  const lost = takeover.eventsOf(JobEvents.leadershipLost);
  const [loaded] = takeover.eventsOf(JobEvents.storedStateLoaded);
  t.is(loaded?.fields.jobs, 4_000);
  t.is(takeover.instance.status.stored_state_loaded, 1);
  const { stored_state_load_milliseconds: tookMs, stored_state_load_bytes: bytes } =
    takeover.instance.status;
  t.deepEqual({ tookMs, bytes }, { tookMs: loaded?.fields.tookMs, bytes: loaded?.fields.bytes });
  const lostAt = lost.map(({ at }) => at);
  t.deepEqual(
    lostAt.map((at, index) => at - (gained[index]?.at ?? 0)),
    [5_000, 10_000],
  );
});

test('the limit of a load doubles with each failure and follows the time of a completed one', (t) => {
  const limit = new LoadLimit();
  t.is(limit.deadlineFrom(1_000), 6_000);
  limit.recordFailure();
  t.is(limit.deadlineFrom(0), 10_000);
  limit.recordFailure();
  limit.recordLoad(12_000);
  t.is(limit.deadlineFrom(0), 24_000);
  limit.recordLoad(100);
  t.is(limit.deadlineFrom(0), 5_000);
});
