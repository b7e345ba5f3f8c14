import {
  DispatchFixture,
  endedTask,
  runningTask,
  fixtureJobId,
  fixtureStep,
} from '@apricothoist/testing';
import test from 'ava';

import { createProgressRecord } from './ProgressRecord.js';
import { RunEnd } from './TaskGroupLifecycle.js';

test('after a takeover a running gang continues', (t) => {
  const before = new DispatchFixture();
  before.start();
  const job = before.dispatcher.state.jobs.get(fixtureJobId);
  const progress = createProgressRecord(job as NonNullable<typeof job>);
  const after = new DispatchFixture([fixtureStep], { progress, version: 7 });
  t.is(after.step().starts.length, 0);
  after.report('r1', [runningTask(0)]);
  after.report('r2', [runningTask(1)]);
  t.deepEqual(after.step(), { starts: [], stops: [] });
  after.report('r2', [], [endedTask(1, 1, RunEnd.done)]);
  t.is(after.state, 'completed');
});

test('after a takeover a missing run is restarted with a higher run number', (t) => {
  const before = new DispatchFixture();
  before.start();
  const job = before.dispatcher.state.jobs.get(fixtureJobId);
  const progress = createProgressRecord(job as NonNullable<typeof job>);
  const after = new DispatchFixture([fixtureStep], { progress, version: 7 });
  after.now += 5;
  after.report('r1');
  after.report('r2');
  const { starts } = after.step();
  t.deepEqual(
    starts.map(({ run }) => run),
    [2, 2],
  );
});

test('after a takeover the lease on an unlisted runner must expire before a restart', (t) => {
  const before = new DispatchFixture();
  before.start();
  const job = before.dispatcher.state.jobs.get(fixtureJobId);
  const progress = createProgressRecord(job as NonNullable<typeof job>);
  const after = new DispatchFixture([fixtureStep], { progress, version: 7 }, ['r2', 'r3']);
  after.now += 5;
  after.report('r2');
  after.report('r3');
  t.is(after.step(5_000).starts.length, 0);
  after.report('r2');
  after.report('r3');
  t.is(after.step(1_500).starts.length, 2);
});

// The whole gang fails once; only the first failed member is known before the takeover.
test('a run whose members fail before and after a takeover counts as one failure', (t) => {
  const before = new DispatchFixture();
  before.start();
  before.report('r1', [], [endedTask(1, 0, RunEnd.failed)]);
  before.step();
  const job = before.dispatcher.state.jobs.get(fixtureJobId);
  const progress = createProgressRecord(job as NonNullable<typeof job>);
  t.is(progress.units[0]?.[2], 1, 'failures before the takeover');
  const after = new DispatchFixture([fixtureStep], { progress, version: 7 });
  after.report('r2', [], [endedTask(1, 1, RunEnd.failed)]);
  const [group] = after.dispatcher.state.jobs.get(fixtureJobId)?.groups.values() ?? [];
  t.is(group?.failures, 1);
});
