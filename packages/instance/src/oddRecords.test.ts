import { JobState } from '@apricothoist/dispatch';
import { createSpecification, plainStep } from '@apricothoist/testing';
import test from 'ava';

import { StoreKeys } from './keys.js';
import { queue, VirtualDeployment } from './testing/VirtualDeployment.js';

const odd = '00000000000000bb';
const sound = '00000000000000aa';
const nested = '['.repeat(200_000) + ']'.repeat(200_000);
const specification = createSpecification(odd, [plainStep]);
const job = JSON.stringify({ specification, queue });
const progress = { state: JobState.running, hasStarted: true, occurrences: 1, done: [], units: [] };

/** Values that another writer may leave under the key of a job. */
const oddJobs: Readonly<Record<string, string>> = {
  null: 'null',
  'an empty object': '{}',
  'deep nesting': nested,
  'an endless repetition': JSON.stringify({
    specification: { ...specification, occurrences: Number.MAX_SAFE_INTEGER },
    queue,
  }),
  'the job of another key': JSON.stringify({
    specification: createSpecification(sound, [plainStep]),
    queue,
  }),
};

const oddProgress: Readonly<Record<string, string>> = {
  null: 'null',
  'deep nesting': nested,
  'more occurrences than the job has': JSON.stringify({ ...progress, occurrences: 5 }),
  'a state that does not exist': JSON.stringify({ ...progress, state: 'lost' }),
};

// The holder resigned, and so did each of its successors.
Object.entries(oddJobs).forEach(([name, value]) => {
  test.serial(`a job record that is ${name} does not end the term`, async (t) => {
    using deployment = new VirtualDeployment({ runners: 2 });
    deployment.store.put(StoreKeys.job(odd), value);
    deployment.submit(sound, [{ count: 2 }]);
    deployment.takeOver();
    t.true(await deployment.runUntilCompleted(10_000));
    t.is(deployment.scheduling.heldJobs.size, 1);
    deployment.submit(odd, [{}]);
    t.true(await deployment.runUntilCompleted(10_000), 'the sound record is used');
    t.deepEqual(deployment.resignations, []);
  });

  test.serial(`a watch of jobs goes on after a record that is ${name}`, async (t) => {
    using deployment = new VirtualDeployment({ runners: 2 });
    deployment.takeOver();
    await deployment.run(500);
    deployment.store.put(StoreKeys.job(odd), value);
    await deployment.run(500);
    deployment.submit(sound, [{ count: 2 }]);
    t.true(await deployment.runUntilCompleted(10_000));
  });
});

// A job without its progress was started again from its first run.
Object.entries(oddProgress).forEach(([name, value]) => {
  test.serial(`a job whose progress is ${name} waits for it`, async (t) => {
    using deployment = new VirtualDeployment({ runners: 2 });
    deployment.store.put(StoreKeys.job(odd), job);
    deployment.store.put(StoreKeys.progress(odd), value);
    deployment.submit(sound, [{ count: 2 }]);
    deployment.takeOver();
    t.true(await deployment.runUntilCompleted(10_000));
    t.false(deployment.pool.records.some(({ task }) => task.startsWith(odd)));
    const completed = { ...progress, state: JobState.completed };
    deployment.store.put(StoreKeys.progress(odd), JSON.stringify(completed));
    t.true(await deployment.runUntil(() => deployment.stateOf(odd) === JobState.completed, 3_000));
    t.false(deployment.pool.records.some(({ task }) => task.startsWith(odd)));
    t.deepEqual(deployment.resignations, []);
  });
});

test.serial('a learned state that is no such record does not end the term', async (t) => {
  using deployment = new VirtualDeployment({ runners: 2 });
  deployment.store.put(StoreKeys.learnedState, '{"durations":[["urgent",1e308]],"paces":{}}');
  deployment.submit(sound, [{ count: 2 }]);
  deployment.takeOver();
  t.true(await deployment.runUntilCompleted(10_000));
  t.deepEqual(deployment.resignations, []);
});

// The end of a run is acknowledged while its job is held, and is not known when the job is loaded.
test.serial('a run that ends while its job is held is not started again', async (t) => {
  using deployment = new VirtualDeployment({ runners: 2, durationMs: 2_000 });
  deployment.submit(odd, [{}]);
  deployment.takeOver();
  await deployment.run(1_000);
  const key = StoreKeys.progress(odd);
  const read = deployment.store.read(key);
  await deployment.run(10);
  const stored = (await read)._unsafeUnwrap()?.value ?? '';
  deployment.endTerm();
  deployment.store.put(key, 'no JSON');
  await deployment.run(2_000);
  deployment.takeOver();
  await deployment.run(1_000);
  deployment.store.put(key, stored);
  t.true(await deployment.runUntilCompleted(10_000));
  const done = deployment.pool.records.filter(({ end }) => end === 'done');
  t.is(done.length, 1, 'the run was done once');
});
