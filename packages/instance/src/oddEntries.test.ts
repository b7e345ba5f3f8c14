import type { ListedRunner } from '@apricothoist/dispatch';
import { JobState } from '@apricothoist/dispatch';
import { plainStep } from '@apricothoist/testing';
import test from 'ava';

import { CapacityWatch } from './testing/CapacityWatch.js';
import { findOverlaps } from './testing/runChecks.js';
import { VirtualDeployment } from './testing/VirtualDeployment.js';

const jobId = '00000000000000aa';
const nextJobId = '00000000000000bb';
const durationMs = 1_500;
const heartbeatMs = 1_500;
/** Two listings. */
const oddMs = 1_400;
/** One listing, the confirmation of the runner and a step. */
const usedWithinMs = 900;
const runnerCapacity = { cpu: 32_000, memoryMb: 131_072, accelerators: 8 };

/** Entries that can be read, of another writer. */
const oddEntries: Readonly<Record<string, Partial<ListedRunner>>> = {
  'a start in the far future': { processStartedAt: 8_640_000_000_000_000 },
  'the next start': { processStartedAt: 2 },
  'another address': { address: '127.0.0.1:9' },
  'another start and address': { processStartedAt: 7, address: '127.0.0.1:9' },
  'another service': { service: 'other' },
  'another data centre': { dataCentre: 'z' },
  'other labels': { labels: ['other', 'place'], rack: 'place' },
  'no capacity': { capacity: { cpu: 0, memoryMb: 0, accelerators: 0 } },
  'a huge capacity': { capacity: { cpu: 1e9, memoryMb: 1e12, accelerators: 1e6 } },
};

/** Overwrites the entry of the runner for a while, and plays the heartbeats beside it. */
function overwrite(deployment: VirtualDeployment, change: Partial<ListedRunner>): void {
  const { registry } = deployment;
  registry.overwritten.set('r1', change);
  registry.write('r1');
  setTimeout(() => {
    registry.overwritten.delete('r1');
    registry.write('r1');
    setInterval(() => registry.write('r1'), heartbeatMs);
  }, oddMs);
}

// A run that had ended was started again, and the runner was not used any more.
Object.entries(oddEntries).forEach(([title, change]) => {
  test.serial(`an odd entry over a runner at work leaves its runs alone: ${title}`, async (t) => {
    using deployment = new VirtualDeployment({ runners: 1, durationMs });
    deployment.registry.write('r1');
    deployment.submit(jobId, [plainStep]);
    deployment.takeOver();
    await deployment.run(1_000);
    overwrite(deployment, change);
    await deployment.run(oddMs);
    t.is(deployment.stateOf(jobId), JobState.completed, 'the end is heard beside the odd entry');
    t.is(deployment.scheduling.dispatcher.state.counters.contradictoryEntries, 1);
    deployment.submit(nextJobId, [plainStep]);
    await deployment.run(usedWithinMs);
    t.is(deployment.stateOf(nextJobId), JobState.running, 'the runner is used at once');
    t.true(await deployment.runUntilCompleted(durationMs));
    t.is(deployment.pool.records.length, 2);
    t.deepEqual(deployment.resignations, []);
  });

  test.serial(`an odd entry before a runner comes does not shut it out: ${title}`, async (t) => {
    using deployment = new VirtualDeployment({ runners: 1, durationMs });
    overwrite(deployment, change);
    deployment.takeOver();
    await deployment.run(oddMs - 100);
    deployment.submit(jobId, [plainStep]);
    // Which of two entries of one incarnation is sound shows when one of them is repeated.
    const isOfIncarnation = change.processStartedAt === undefined && change.address === undefined;
    await deployment.run(100 + usedWithinMs + (isOfIncarnation ? heartbeatMs : 0));
    t.is(deployment.pool.records.length, 1);
    t.true(await deployment.runUntilCompleted(durationMs));
    t.is(deployment.pool.records.length, 1);
  });
});

// Its reports were ignored as those of an earlier incarnation for as long as the entry stood.
test.serial('a runner is used beside an odd entry that stays', async (t) => {
  const { 'no capacity': none, ...others } = oddEntries;
  t.truthy(none, 'an entry without capacity leaves room for nothing');
  for (const [title, change] of Object.entries(others)) {
    using deployment = new VirtualDeployment({ runners: 1, durationMs });
    deployment.registry.write('r1');
    deployment.submit(jobId, [plainStep]);
    deployment.takeOver();
    await deployment.run(1_000);
    deployment.registry.overwritten.set('r1', change);
    await deployment.run(durationMs);
    deployment.submit(nextJobId, [plainStep]);
    t.true(await deployment.runUntilCompleted(durationMs + usedWithinMs), title);
    t.is(deployment.pool.records.length, 2, title);
  }
});

// A runner without a check of its own starts what an entry of another writer promises.
test.serial('an odd entry does not have a runner exceed its capacity', async (t) => {
  using deployment = new VirtualDeployment({
    runners: 1,
    durationMs: 6_000,
    guardsCapacity: false,
    capacity: runnerCapacity,
    behave: () => ({ size: plainStep.size }),
  });
  const watch = new CapacityWatch(deployment);
  deployment.registry.write('r1');
  deployment.takeOver();
  await deployment.run(800);
  overwrite(deployment, { capacity: { cpu: 1e9, memoryMb: 1e12, accelerators: 1e6 } });
  await deployment.run(100);
  for (let number = 1; number <= 80; number += 1) {
    deployment.submit(String(number).padStart(16, '0'), [plainStep]);
  }
  await deployment.run(4_000);
  t.true(deployment.pool.records.length > 0);
  t.deepEqual(watch.exceeded, []);
});

// An incarnation that another writer has named was taken for the present one, or held back the real one.
test.serial('a runner that restarts beside an odd entry is used again', async (t) => {
  using deployment = new VirtualDeployment({ runners: 1, durationMs });
  deployment.registry.write('r1');
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  await deployment.run(700);
  overwrite(deployment, { processStartedAt: 8_640_000_000_000_000 });
  await deployment.run(200);
  deployment.restart('r1', 300);
  t.true(await deployment.runUntilCompleted(oddMs + usedWithinMs + durationMs));
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});
