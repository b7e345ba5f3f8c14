import { readdirSync, readFileSync } from 'node:fs';

import { Random } from '@apricothoist/common';
import { Adjacency, ConfigurationBuilder, parseConfiguration, Urgency } from '@apricothoist/config';
import type { Digest } from '@apricothoist/mesh';
import { Membership, MemberState } from '@apricothoist/mesh';
import type { WorkerClient } from '@apricothoist/platform';
import { BudgetedStore, WorkerError, WorkerErrorKind } from '@apricothoist/platform';
import { ClaimResult } from '@apricothoist/router';
import type { Attempt } from '@apricothoist/scheduler';
import { createJob, createPlan, PlanChangeKind, Scheduler } from '@apricothoist/scheduler';
import { ManualClock, MemoryStore, WorkerModel } from '@apricothoist/testing';
import test from 'ava';
import fc from 'fast-check';
import { err, ok } from 'neverthrow';

import { ConfigurationCache } from './ConfigurationCache.js';
import { ConfigurationStore, PublishErrorKind } from './ConfigurationStore.js';
import { EventKinds } from './events.js';
import { LeaderLease } from './LeaderLease.js';
import { PlanRepository } from './PlanRepository.js';
import { RenewalFence } from './RenewalFence.js';
import { parseSettings } from './Settings.js';
import { StoreClaims } from './StoreClaims.js';
import { taskLeaseMs, WorkerGateway, workerTimeoutMs } from './WorkerGateway.js';

const limits = { callsPerSecond: 10_000, reservedPerSecond: 10, callTimeoutMs: 1_000 };

function createStores(count: number) {
  const clock = new ManualClock();
  const memory = new MemoryStore(() => clock.wall());
  const stores = Array.from(
    { length: count },
    (_, index) => new BudgetedStore(memory, clock, new Random(index), limits),
  );
  return { clock, memory, stores };
}

function createText(weight: number): string {
  return new ConfigurationBuilder({
    name: 'test',
    region: 'north',
    dataCentres: ['a'],
    completionWeight: 0.5,
  })
    .account('team', { weight, requestLimit: 10, acceleratorLimit: 8 })
    .print();
}

const createProposal = (changeId: string, expectedRevision: number, weight: number) => ({
  changeId,
  expectedRevision,
  text: createText(weight),
  author: changeId,
  reason: 'test',
  at: 0,
});

const settingsText = `
[instance]
name = one
data-centre = a
[listeners]
caller = 127.0.0.1:7001
operator = 127.0.0.1:7002
mesh = 127.0.0.1:7003
[platform]
store = http://127.0.0.1:2380
instance-list = http://127.0.0.1:2381
`;

function settingsError(text: string): string {
  const parsed = parseSettings(text, 'one.ini');
  return parsed.isErr() ? parsed.error.message : '';
}

test('validates settings and names the key in errors', (t) => {
  t.is(settingsError(settingsText), '');
  t.is(
    settingsError(settingsText.replace('name = one', 'name = one\ncolour = red')),
    'one.ini: [instance] colour: unknown key',
  );
  t.is(settingsError(`${settingsText}[extra]\n`), 'one.ini: [extra]: unknown section');
  t.is(
    settingsError(settingsText.replace('name = one\n', '')),
    'one.ini: [instance] name: missing',
  );
  t.regex(
    settingsError(settingsText.replace('127.0.0.1:7001', 'localhost')),
    /\[listeners\] caller: /,
  );
  t.regex(
    settingsError(settingsText.replace('[platform]', '[platform]\nlist-interval-ms = soon')),
    /list-interval-ms: expected a whole number/,
  );
});

test('requires a token for a listener that is not on loopback', (t) => {
  t.is(
    settingsError(settingsText.replace('127.0.0.1:7002', '10.0.0.1:7002')),
    'one.ini: [listeners] operator: not on loopback, so [tokens] operator-file is needed',
  );
  const withToken = `${settingsText}[tokens]\noperator-file = token\n`;
  t.is(settingsError(withToken.replace('127.0.0.1:7002', '10.0.0.1:7002')), '');
});

test('parses any text to settings or an error without throwing', (t) => {
  const line = fc.oneof(fc.string(), fc.constantFrom('[listeners]', '[__proto__]', 'caller[] = x'));
  fc.assert(
    fc.property(fc.array(line), (lines) => {
      parseSettings(lines.join('\n'), 'any');
      parseSettings(settingsText + lines.join('\n'), 'any');
    }),
    { seed: 2, numRuns: 300 },
  );
  t.pass();
});

test('the documentation lists exactly the log events that exist', (t) => {
  const page = readFileSync(new URL('../../../docs/EVENTS.md', import.meta.url), 'utf8');
  const documented = [...page.matchAll(/^\| E(\d+) \| (\w+) \| ([^|]+) \|/gm)].map(
    ([, code, level, text = '']) => `${code} ${level} ${text.trim()}`,
  );
  const kinds = Object.values(EventKinds);
  t.deepEqual(
    documented.sort(),
    kinds.map(({ code, level, text }) => `${code} ${level} ${text}`).sort(),
  );
  t.is(new Set(kinds.map(({ code }) => code)).size, kinds.length);
});

test('every log event is used in the sources', (t) => {
  const folder = new URL('../src/', import.meta.url);
  const sources = readdirSync(folder)
    .filter((name) => name.endsWith('.ts') && !name.endsWith('.test.ts'))
    .map((name) => readFileSync(new URL(name, folder), 'utf8'))
    .join('\n');
  Object.keys(EventKinds).forEach((name) => {
    t.true(sources.includes(`EventKinds.${name}`), name);
  });
});

test('accepts one of two concurrent changes and reports it to the other operator', async (t) => {
  const { stores } = createStores(2);
  const [first, second] = stores.map((store) => new ConfigurationStore(store));
  const results = await Promise.all([
    first?.publish(createProposal('one', 0, 1)),
    second?.publish(createProposal('two', 0, 2)),
  ]);
  t.is(results.filter((result) => result?.isOk()).length, 1);
  const rejected = results.find((result) => result?.isErr());
  const error = rejected?._unsafeUnwrapErr();
  t.is(error?.kind, PublishErrorKind.conflict);
  t.is(error?.winners.length, 1);
});

test('recognizes an accepted change after a lost response and records it once', async (t) => {
  const { memory, stores } = createStores(1);
  const store = new ConfigurationStore(stores[0] as BudgetedStore);
  memory.faults.lostResponses = 2;
  const published = await store.publish(createProposal('one', 0, 1));
  t.is(published._unsafeUnwrap().revision, 1);
  const repeated = await store.publish(createProposal('one', 0, 1));
  t.is(repeated._unsafeUnwrap().revision, 1);
  const trail = (await store.readAuditTrail(0, 10))._unsafeUnwrap();
  t.deepEqual(
    trail.map((record) => record.changeId),
    ['one'],
  );
});

test('the audit trail has every change once under concurrency and lost responses', async (t) => {
  const { memory, stores } = createStores(4);
  const random = new Random(5);
  const accepted: string[] = [];
  const operators = stores.map((store) => new ConfigurationStore(store));
  for (let round = 0; round < 30; round += 1) {
    memory.faults.lostResponses = random.below(3);
    await Promise.all(
      operators.map(async (operator, index) => {
        const head = (await operator.readHead())._unsafeUnwrap();
        const id = `change-${round}-${index}`;
        const published = await operator.publish(createProposal(id, head.revision, round + 2));
        if (published.isOk()) {
          accepted.push(id);
        }
      }),
    );
  }
  memory.faults.lostResponses = 0;
  const trail = (await operators[0]?.readAuditTrail(0, 1_000))?._unsafeUnwrap() ?? [];
  t.deepEqual(trail.map((record) => record.changeId).toReversed(), accepted);
  t.deepEqual(
    trail.map((record) => record.revision),
    trail.map((_, index) => trail.length - index),
  );
});

test('rejects an invalid configuration without writing', async (t) => {
  const { memory, stores } = createStores(1);
  const store = new ConfigurationStore(stores[0] as BudgetedStore);
  const rejected = await store.publish({ ...createProposal('one', 0, 1), text: '[deployment]\n' });
  t.is(rejected._unsafeUnwrapErr().kind, PublishErrorKind.invalid);
  t.is(memory.writes, 0);
});

test('never reverts to an older configuration and rejects a corrupt one', async (t) => {
  const { stores } = createStores(1);
  const store = new ConfigurationStore(stores[0] as BudgetedStore);
  const cache = new ConfigurationCache(store);
  const rejected: string[] = [];
  cache.onReject((reason) => rejected.push(reason));
  const first = (await store.publish(createProposal('one', 0, 1)))._unsafeUnwrap();
  const second = (await store.publish(createProposal('two', 1, 2)))._unsafeUnwrap();
  cache.offer(second);
  cache.offer(first);
  t.is(cache.revision, 2);
  cache.offer({ revision: 3, digest: first.digest, text: second.text });
  t.is(cache.revision, 2);
  t.is(rejected.length, 1);
});

test('ignores a stale read of the store', async (t) => {
  const { memory, stores } = createStores(1);
  const store = new ConfigurationStore(stores[0] as BudgetedStore);
  const cache = new ConfigurationCache(store);
  await store.publish(createProposal('one', 0, 1));
  await store.publish(createProposal('two', 1, 2));
  await cache.refresh();
  memory.faults.staleReads = 2;
  await cache.refresh();
  t.is(cache.revision, 2);
});

const descriptor = {
  id: 'request-1',
  account: 'team',
  service: 'service',
  urgency: Urgency.normal,
  isIdempotent: false,
  key: 'key',
  arrivedAt: 0,
  deadline: 1_000,
  isForwarded: false,
};

test('grants a key to one request across instances', async (t) => {
  const { stores, clock } = createStores(3);
  const claims = stores.map((store, index) => new StoreClaims(store, clock, `instance-${index}`));
  const results = await Promise.all(
    claims.map((claim, index) => claim.claim({ ...descriptor, id: `request-${index}` })),
  );
  t.is(results.filter((result) => result === ClaimResult.granted).length, 1);
  t.is(results.filter((result) => result === ClaimResult.taken).length, 2);
});

test('a key stays claimed for other instances until it is released', async (t) => {
  const { stores, clock } = createStores(2);
  const [first, second] = stores.map((store, index) => new StoreClaims(store, clock, `${index}`));
  t.is(await first?.claim(descriptor), ClaimResult.granted);
  t.is(await second?.claim({ ...descriptor, id: 'request-2' }), ClaimResult.taken);
  await first?.release(descriptor);
  t.is(await second?.claim({ ...descriptor, id: 'request-2' }), ClaimResult.granted);
});

test('grants no claim during a store outage and leaves the key claimable', async (t) => {
  const { memory, stores, clock } = createStores(1);
  const claims = new StoreClaims(stores[0] as BudgetedStore, clock, 'one');
  memory.faults.isUnavailable = true;
  t.is(await claims.claim(descriptor), ClaimResult.unavailable);
  memory.faults.isUnavailable = false;
  t.is(await claims.claim(descriptor), ClaimResult.granted);
});

function createSmallJob(id: string) {
  const shape = { workers: 1, acceleratorsPerWorker: 1, adjacency: Adjacency.any };
  const request = { id, name: id, account: 'team', shape, urgency: Urgency.normal };
  return createJob({ ...request, declaredMs: 1_000 }, 0);
}

test('batches concurrent submissions into few writes', async (t) => {
  const { memory, stores, clock } = createStores(1);
  const repository = new PlanRepository(stores[0] as BudgetedStore, clock, 'a');
  const ids = Array.from({ length: 300 }, (_, index) => `job-${index}`);
  await Promise.all(
    ids.map((id) => repository.change({ kind: PlanChangeKind.submit, job: createSmallJob(id) })),
  );
  t.is(repository.current.jobs.length, 300);
  t.true(memory.writes <= 3, `${memory.writes} writes`);
});

test('loses no change when two instances change a plan concurrently', async (t) => {
  const { memory, stores, clock } = createStores(2);
  const repositories = stores.map((store) => new PlanRepository(store, clock, 'a'));
  memory.faults.lostResponses = 1;
  await Promise.all(
    repositories.flatMap((repository, index) =>
      Array.from({ length: 5 }, (_, number) =>
        repository.change({
          kind: PlanChangeKind.submit,
          job: createSmallJob(`job-${index}-${number}`),
        }),
      ),
    ),
  );
  await repositories[0]?.refresh();
  t.is(repositories[0]?.current.jobs.length, 10);
});

test('one instance holds the lease, and a paused holder no longer relies on it', async (t) => {
  const { stores, clock } = createStores(2);
  const [first, second] = stores.map(
    (store, index) => new LeaderLease(store, clock, 'a', `${index}`),
  );
  await first?.maintain();
  await second?.maintain();
  t.true(first?.isHeld);
  t.false(second?.isHeld);
  clock.advance(6_500);
  t.false(first?.isHeld, 'after a pause longer than the lease');
  await second?.maintain();
  t.true(second?.isHeld);
  await first?.maintain();
  t.false(first?.isHeld);
});

test('removes a gone worker once the plan no longer refers to it', (t) => {
  const clock = new ManualClock();
  const client = { assign: async () => err(new WorkerError(WorkerErrorKind.unreachable, '')) };
  const task = { workerId: 'w1', accelerators: 1, isStopped: false, isFinished: false };
  const plan = createPlan('a');
  const source = { current: { ...plan, attempts: [{ tasks: [task] } as unknown as Attempt] } };
  const gateway = new WorkerGateway(client, source, clock, 'a');
  const rows = ['w1', 'w2'].map((id) => ({
    id,
    role: 'worker' as const,
    dataCentre: 'a',
    address: `${id}:1`,
    state: 'live' as const,
    accelerators: 1,
  }));
  gateway.updateListed(rows);
  clock.advance(60_000);
  gateway.updateListed([]);
  gateway.updateListed([]);
  gateway.updateListed([]);
  t.is(gateway.size, 1);
  t.true(gateway.observations.get('w1')?.isGone);
  source.current = plan;
  gateway.updateListed([]);
  t.is(gateway.size, 0);
});

// Two reads without the worker and six seconds without a report do not end leases of eight seconds.
test('a worker missing from the list does not run its job beside the next attempt', async (t) => {
  const clock = new ManualClock();
  const fence = new RenewalFence(clock, taskLeaseMs);
  const scheduler = new Scheduler(() => `attempt-${clock.now}`);
  const shape = { workers: 1, acceleratorsPerWorker: 8, adjacency: Adjacency.any };
  const request = { id: 'job', name: 'job', account: 'team', shape, urgency: Urgency.normal };
  const jobs = [createJob({ ...request, declaredMs: 60_000 }, clock.wall())];
  const source = { current: { ...createPlan('a'), revision: 1, jobs } };
  const behaviour = { runMs: () => 60_000, checkpointMs: 100, isFailing: () => false };
  const models = new Map(['w1', 'w2'].map((id) => [id, new WorkerModel(id, 8, behaviour)]));
  const lost = new Set<string>();
  const client: WorkerClient = {
    assign: async (address, assignment) => {
      const model = models.get(address);
      return model === undefined || lost.has(address)
        ? err(new WorkerError(WorkerErrorKind.unreachable, ''))
        : ok(model.assign(assignment, clock.wall()));
    },
  };
  using gateway = new WorkerGateway(client, source, clock, 'a');
  const configuration = parseConfiguration(createText(1), 'test')._unsafeUnwrap();
  const step = async (): Promise<void> => {
    clock.advance(100);
    if (clock.now % 1_000 === 0) {
      const rows = ['w1', 'w2'].filter((id) => !lost.has(id));
      gateway.updateListed(
        rows.map((id) => ({
          id,
          role: 'worker',
          dataCentre: 'a',
          address: id,
          state: 'live',
          accelerators: 8,
        })),
      );
      fence.record([], source.current.revision);
    }
    gateway.callChangedWorkers();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const now = clock.wall();
    const { plan } = scheduler.step({
      plan: source.current,
      configuration,
      workers: gateway.workers,
      observations: gateway.observations,
      limits: {
        now,
        staleBefore: now - workerTimeoutMs,
        fencedRevision: fence.revision(),
        releasedBefore: -Infinity,
      },
    });
    source.current = plan ?? source.current;
  };
  const runs = () =>
    [...models.values()].flatMap((model) => {
      model.advance(clock.wall());
      return model.runs;
    });
  gateway.activate();
  while (clock.now < 1_005_000) {
    await step();
  }
  const [first] = runs();
  lost.add(first?.workerId ?? '');
  while (runs().length < 2 && clock.now < 1_040_000) {
    await step();
  }
  const [{ startedAt = 0 } = {}] = runs().filter((run) => run !== first);
  t.true(startedAt > 0, 'the next attempt starts');
  t.true(
    (first?.endedAt ?? Infinity) <= startedAt,
    `the next attempt starts at ${startedAt}, the first one ends at ${first?.endedAt}`,
  );
});

test('the fence retains points for one lease duration only, even if it is never read', (t) => {
  const clock = new ManualClock();
  const fence = new RenewalFence(clock, 8_000);
  for (let second = 0; second < 1_000; second += 1) {
    fence.record([], second);
    clock.advance(1_000);
  }
  t.true(fence.size <= 10, `${fence.size} points`);
});

test('the fence waits for every instance and for one lease duration', (t) => {
  const clock = new ManualClock();
  const fence = new RenewalFence(clock, 8_000);
  fence.record([{ planRevision: 5, isResponsive: true }], 6);
  t.is(fence.revision(), -1);
  clock.advance(8_000);
  t.is(fence.revision(), 5);
  fence.record([{ planRevision: 9, isResponsive: false }], 9);
  clock.advance(8_000);
  t.is(fence.revision(), 5, 'an unresponsive instance may still renew leases');
});

// One partial list is enough to forget an instance, and later lists do not add it again.
test('the fence waits for an unresponsive instance that one list does not contain', (t) => {
  const clock = new ManualClock();
  const fence = new RenewalFence(clock, taskLeaseMs);
  const members = new Membership('self', 'a');
  const identity = { instanceId: 'other', dataCentre: 'a', address: 'other:1' };
  const digest: Digest = {
    ...identity,
    sequence: 1,
    isLeaving: false,
    configurationRevision: 1,
    planRevision: 5,
    planConfirmedAt: clock.wall(),
    services: [],
    endpoints: [],
    leavingEndpoints: [],
    peers: [],
  };
  members.updateListed([identity], clock.monotonic());
  members.applyDigest(digest, clock.monotonic());
  for (let second = 1; second <= 60; second += 1) {
    clock.advance(1_000);
    members.updateListed(second === 40 ? [] : [identity], clock.monotonic());
    members.detectTimeouts(clock.monotonic());
    const renewers = members.all.map((member) => ({
      isResponsive: member.state === MemberState.alive,
      planRevision: member.digest?.planRevision ?? -1,
    }));
    fence.record(renewers, 9);
  }
  t.true(fence.revision() <= 5, `leases of revision 5 count as expired at ${fence.revision()}`);
});
