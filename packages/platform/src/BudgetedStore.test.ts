import { Random } from '@apricothoist/common';
import { ManualClock, MemoryStore } from '@apricothoist/testing';
import test from 'ava';

import { BudgetedStore } from './BudgetedStore.js';
import { CallBudget } from './CallBudget.js';
import { absentVersion } from './Store.js';
import { StoreErrorKind } from './StoreError.js';
import { CallOutcome, StoreHealth, StoreState } from './StoreHealth.js';

const limits = { callsPerSecond: 30, reservedPerSecond: 10, callTimeoutMs: 1_000 };
/** Rate limit of the platform's key-value service, in calls per second. */
const maxReadsPerSecond = 2_000;

function createStore() {
  const clock = new ManualClock();
  const memory = new MemoryStore(() => clock.wall());
  const store = new BudgetedStore(memory, clock, new Random(1), limits);
  return { clock, memory, store };
}

test('a budget allows a burst of one second and then its rate', (t) => {
  const budget = new CallBudget(10, 0);
  const taken = Array.from({ length: 20 }, () => budget.take(0)).filter(Boolean).length;
  t.is(taken, 10);
  t.is(budget.availableAt(0), 100);
  t.true(budget.take(100));
  t.false(budget.take(100));
});

test('calls over the budget are refused without being sent', async (t) => {
  const { memory, store } = createStore();
  for (let index = 0; index < limits.callsPerSecond; index += 1) {
    await store.read(`key-${index}`);
  }
  const refused = await store.read('another');
  t.is(refused._unsafeUnwrapErr().kind, StoreErrorKind.overBudget);
  t.is(memory.reads, limits.callsPerSecond);
});

test('a flood of claims leaves reserved calls to the control plane', async (t) => {
  const { store } = createStore();
  const claims = store.forRequests;
  const results = [];
  for (let index = 0; index < 100; index += 1) {
    results.push(await claims.compareAndSwap(`claim-${index}`, absentVersion, 'x'));
  }
  t.is(results.filter((result) => result.isOk()).length, limits.callsPerSecond - 10);
  t.true((await store.compareAndSwap('plan', absentVersion, 'x')).isOk());
});

test('concurrent reads of one key share a call', async (t) => {
  const { memory, store } = createStore();
  await Promise.all([store.read('key'), store.read('key'), store.read('key')]);
  t.is(memory.reads, 1);
});

test('a write whose response was lost is detected and not repeated', async (t) => {
  const { memory, store } = createStore();
  memory.faults.lostResponses = 1;
  const written = await store.compareAndSwap('key', absentVersion, 'value');
  t.true(written.isOk());
  t.is(memory.writes, 1);
  const read = await store.read<string>('key');
  t.is(read._unsafeUnwrap()?.version, written._unsafeUnwrap());
});

test('a write that was overwritten after its response was lost has an unknown outcome', async (t) => {
  const { memory, store, clock } = createStore();
  const other = new BudgetedStore(memory, clock, new Random(2), limits);
  const write = memory.write.bind(memory);
  memory.write = async (request) => {
    const result = await write(request);
    if (memory.faults.lostResponses === 0 && result.isErr()) {
      memory.write = write;
      const found = (await other.read('key'))._unsafeUnwrap();
      await other.compareAndSwap('key', found?.version ?? 0, 'theirs');
    }
    return result;
  };
  memory.faults.lostResponses = 1;
  const written = await store.compareAndSwap('key', absentVersion, 'ours');
  t.is(written._unsafeUnwrapErr().kind, StoreErrorKind.unknown);
});

test('the losing writer of a race gets a conflict', async (t) => {
  const { store } = createStore();
  await store.compareAndSwap('key', absentVersion, 'first');
  const second = await store.compareAndSwap('key', absentVersion, 'second');
  t.is(second._unsafeUnwrapErr().kind, StoreErrorKind.conflict);
});

test('late responses mark the store slow, failures mark it down', (t) => {
  const health = new StoreHealth(new Random(1));
  health.record(CallOutcome.late, 0);
  health.record(CallOutcome.late, 0);
  health.record(CallOutcome.late, 0);
  t.is(health.state, StoreState.slow);
  t.true(health.admit(0));
  [1, 2, 3].forEach(() => health.record(CallOutcome.failed, 0));
  t.is(health.state, StoreState.down);
  t.false(health.admit(0));
  health.record(CallOutcome.answered, 0);
  t.is(health.state, StoreState.up);
});

test('while the store is down, single probes are sent with increasing delay', (t) => {
  const health = new StoreHealth(new Random(1));
  [1, 2, 3].forEach(() => health.record(CallOutcome.failed, 0));
  let probes = 0;
  for (let now = 0; now < 60_000; now += 10) {
    probes += health.admit(now) ? 1 : 0;
    health.record(CallOutcome.failed, now);
  }
  t.true(probes >= 8 && probes <= 40, `${probes} probes in one minute`);
});

test('thirty instances do not overload a store that recovers', async (t) => {
  const clock = new ManualClock();
  const memory = new MemoryStore(() => clock.wall());
  const stores = Array.from(
    { length: 30 },
    (_, index) => new BudgetedStore(memory, clock, new Random(index), limits),
  );
  memory.faults.isUnavailable = true;
  const perSecond = new Map<number, number>();
  for (let tick = 0; tick < 600; tick += 1) {
    memory.faults.isUnavailable = tick < 300;
    const before = memory.reads;
    // Every instance attempts two reads every fifty milliseconds.
    await Promise.all(stores.flatMap((store) => [store.read('a'), store.read('b')]));
    const second = Math.floor(clock.now / 1_000);
    perSecond.set(second, (perSecond.get(second) ?? 0) + memory.reads - before);
    clock.advance(50);
  }
  const peakRate = Math.max(...perSecond.values());
  t.true(peakRate <= maxReadsPerSecond, `${peakRate} calls in one second`);
  t.true(stores.every((store) => store.state === StoreState.up));
  t.log(`peak calls in one second: ${peakRate}`);
});
