import {
  DispatchFixture,
  endedTask,
  fixtureStep,
  listedRunner,
  runningTask,
} from '@apricothoist/testing';
import test from 'ava';

import { StartOutcome } from './StartOutcome.js';
import { RunEnd } from './TaskGroupLifecycle.js';

const single = {
  ...fixtureStep,
  count: 1,
  isGang: false,
  size: { ...fixtureStep.size, accelerators: 1 },
};

test('a task is not started beside a run that a runner still reports', (t) => {
  const fixture = new DispatchFixture([single]);
  fixture.report('r1', [runningTask(0)]);
  fixture.report('r2');
  const commands = fixture.step();
  t.deepEqual(commands.starts, []);
  t.is(commands.stops.length, 1);
  t.deepEqual(fixture.step(200).starts, []);
  t.is(fixture.step(800).stops.length, 1, 'the stop is repeated');
  fixture.report('r1');
  t.is(fixture.step().starts.length, 1);
});

test('a run that an unreachable runner reported holds its task back until its lease ends', (t) => {
  const fixture = new DispatchFixture([single]);
  fixture.report('r1', [runningTask(0)]);
  fixture.report('r2');
  fixture.step();
  fixture.dispatcher.recordUnansweredCall('r1', fixture.now);
  t.deepEqual(fixture.step(6_000).starts, []);
  t.deepEqual(
    fixture.step(400).starts.map(({ runnerId }) => runnerId),
    ['r2'],
  );
});

// Its runner was forgotten at once after a step of the wall clock, and its task started beside it.
test('a step of the clock does not forget a run that may be at work', (t) => {
  const fixture = new DispatchFixture([single]);
  const { dispatcher } = fixture;
  fixture.report('r1', [runningTask(0)]);
  fixture.report('r2');
  fixture.step();
  const steadyNow = fixture.now;
  fixture.now += 3_600_000;
  dispatcher.updateRunners([listedRunner('r2')], fixture.now - 5_000);
  dispatcher.updateRunners([listedRunner('r2')], fixture.now);
  t.deepEqual(dispatcher.step(fixture.now, fixture.now, steadyNow + 100).starts, []);
  fixture.now += 7_000;
  t.is(dispatcher.step(fixture.now, fixture.now, steadyNow + 7_000).starts.length, 1);
});

test('a run that is not held by a task group counts against the limit of tasks per runner', (t) => {
  const fixture = new DispatchFixture([{ ...single, count: 2, perRunnerLimit: 1 }], undefined, [
    'r1',
  ]);
  fixture.step();
  fixture.report('r1', [runningTask(0)]);
  t.deepEqual(fixture.step().starts, []);
  fixture.report('r1');
  t.is(fixture.step().starts.length, 1);
});

test('a report without a run does not remove one that was seen after its request', (t) => {
  const fixture = new DispatchFixture([single]);
  const requestedAt = fixture.now;
  fixture.report('r1', [runningTask(0)]);
  fixture.report('r2');
  fixture.step();
  const earlier = { processStartedAt: 1, requestedAt, running: [], ended: [], hasMoreEnds: false };
  fixture.dispatcher.applyReport('r1', earlier, fixture.now);
  t.deepEqual(fixture.step().starts, []);
});

test('a runner is not used while a start may be executed there after its lease has expired', (t) => {
  const fixture = new DispatchFixture([single], undefined, ['r1']);
  fixture.report('r1');
  const commands = fixture.step();
  fixture.recordStartOutcomes(commands, StartOutcome.unknown);
  fixture.dispatcher.recordUnansweredCall('r1', fixture.now);
  fixture.step(6_400);
  fixture.report('r1');
  t.deepEqual(fixture.step(21_000).starts, [], 'the quarantine is over');
  fixture.dispatcher.recordStopResponse('r1', 1, commands.starts[0]?.task ?? '', 1, fixture.now);
  t.is(fixture.step(200).starts.length, 1);
});

test('a task is not started after a run that was held to have ended is done', (t) => {
  const fixture = new DispatchFixture([single]);
  fixture.step();
  fixture.report('r1', [runningTask(0)]);
  fixture.report('r2');
  t.deepEqual(fixture.step().starts, []);
  fixture.report('r1', [], [endedTask(1, 0, RunEnd.done)]);
  t.deepEqual(fixture.step().starts, []);
  t.is(fixture.state, 'completed');
});

test('a run that is done on an unreachable runner counts, and the next run is stopped', (t) => {
  const fixture = new DispatchFixture([single]);
  fixture.report('r1');
  const [first] = fixture.start().starts;
  const [runnerId, otherId] = first?.runnerId === 'r1' ? ['r1', 'r2'] : ['r2', 'r1'];
  fixture.dispatcher.recordUnansweredCall(runnerId, fixture.now);
  fixture.report(otherId);
  const second = fixture.step(6_400);
  t.deepEqual(
    second.starts.map(({ run }) => run),
    [2],
  );
  fixture.recordStartOutcomes(second, StartOutcome.started);
  fixture.report(runnerId, [], [endedTask(1, 0, RunEnd.done)]);
  t.is(fixture.state, 'completed');
  t.deepEqual(
    fixture.step().stops.map(({ run }) => run),
    [2],
  );
});

test('a runner with a run of unknown size is not used until the run has been stopped', (t) => {
  const fixture = new DispatchFixture([single], undefined, ['r1']);
  const unknown = { ...runningTask(0), task: 'ffffffffffffffff.0.0.0' };
  fixture.report('r1', [unknown]);
  t.deepEqual(fixture.step().starts, []);
  fixture.report('r1');
  t.is(fixture.step().starts.length, 1);
});
