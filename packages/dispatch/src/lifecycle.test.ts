import {
  DispatchFixture,
  endedTask,
  listedRunner,
  ReplaySimulation,
  runningTask,
  fixtureJobId,
  fixtureQueue,
  fixtureStep,
} from '@apricothoist/testing';
import test from 'ava';

import type { EndedTask } from './ReportHandler.js';
import { StartOutcome } from './StartOutcome.js';
import { RunEnd } from './TaskGroupLifecycle.js';

test('no task starts on a runner that has not accepted the fencing token', (t) => {
  const fixture = new DispatchFixture();
  t.is(fixture.step().starts.length, 0);
  fixture.report('r1');
  t.is(fixture.step().starts.length, 0);
  fixture.report('r2');
  t.is(fixture.step().starts.length, 2);
});

test('one member reported done completes the gang, and a later failure does not revoke it', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.report('r1', [], [endedTask(1, 0, RunEnd.done)]);
  t.is(fixture.state, 'completed');
  fixture.report('r2', [], [endedTask(1, 1, RunEnd.failed)]);
  t.is(fixture.state, 'completed');
  t.deepEqual(fixture.step(), { starts: [], stops: [] });
});

test('a member still reported as running right after its gang is done is not stopped', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.report('r1', [], [endedTask(1, 0, RunEnd.done)]);
  fixture.report('r2', [{ ...runningTask(1), percent: 100 }]);
  t.deepEqual(fixture.step().stops, []);
  fixture.report('r2', [runningTask(1, 2)]);
  t.is(fixture.step().stops.length, 1, 'a run that was never started by a command');
});

test('a start without a response must be confirmed as stopped before the next run', (t) => {
  const fixture = new DispatchFixture();
  fixture.report('r1');
  fixture.report('r2');
  const [first, second] = fixture.step().starts;
  fixture.dispatcher.recordStartOutcomes(
    'r1',
    first?.task ?? '',
    1,
    [StartOutcome.started],
    fixture.now,
  );
  fixture.dispatcher.recordStartOutcomes(
    'r2',
    second?.task ?? '',
    1,
    [StartOutcome.unknown],
    fixture.now,
  );
  const { starts, stops } = fixture.step();
  t.is(starts.length, 0);
  t.deepEqual(stops.map(({ runnerId }) => runnerId).sort(), ['r1', 'r2']);
  fixture.report('r1', [], [endedTask(1, 0, RunEnd.stopped, 'half')]);
  fixture.report('r2');
  t.is(fixture.step(500).starts.length, 0, 'the start on r2 may still be executed');
  fixture.dispatcher.recordStopResponse('r2', 1, second?.task ?? '', 1, fixture.now);
  fixture.now += 1;
  fixture.report('r2');
  const again = fixture.step(1_500).starts;
  t.deepEqual(
    again.map(({ run, saved }) => ({ run, saved })),
    [
      { run: 2, saved: 'half' },
      { run: 2, saved: 'half' },
    ],
  );
});

test('failures of a gang count once per run, up to the attempt limit of its queue', (t) => {
  const fixture = new DispatchFixture();
  for (let run = 1; run <= fixtureQueue.maxAttempts; run += 1) {
    fixture.report('r1');
    fixture.report('r2');
    const commands = fixture.step(30_000);
    t.deepEqual(
      commands.starts.map((command) => command.run),
      [run, run],
    );
    fixture.recordStartOutcomes(commands, StartOutcome.started);
    const task = (index: number, end: RunEnd): EndedTask => ({
      ...endedTask(run, index, end),
      run,
    });
    fixture.report('r1', [], [task(0, RunEnd.failed)]);
    t.is(fixture.state, 'running');
    fixture.report('r2', [], [task(1, RunEnd.failed)]);
    t.is(fixture.state, run === fixtureQueue.maxAttempts ? 'failed' : 'running');
  }
  t.is(fixture.step(60_000).starts.length, 0);
});

test('tasks of an unresponsive runner are kept until its lease has certainly expired', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.dispatcher.recordUnansweredCall('r1', fixture.now);
  fixture.report('r2', [runningTask(1)]);
  fixture.step(6_000);
  t.is(fixture.dispatcher.state.runners.get('r1')?.occupants.size, 1);
  fixture.step(400);
  t.is(fixture.dispatcher.state.runners.get('r1')?.occupants.size, 0);
});

test('a restarted runner no longer runs the tasks of its previous incarnation', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.now += 10;
  fixture.report('r1', [], [], 2);
  const { stops } = fixture.step();
  t.deepEqual(
    stops.map(({ runnerId }) => runnerId),
    ['r2'],
  );
});

test('a task started by the restarted runner process continues', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.now += 10;
  fixture.report('r1', [runningTask(0)], [], 2);
  t.deepEqual(fixture.step(), { starts: [], stops: [] });
  fixture.report('r1', [], [endedTask(1, 0, RunEnd.done)], 2);
  t.is(fixture.state, 'completed');
});

test('a restarted runner whose clock was set back is used again once it is listed', (t) => {
  const fixture = new DispatchFixture([fixtureStep], undefined, ['r1', 'r2', 'r3']);
  fixture.report('r1', [], [], 1);
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 9 })], fixture.now);
  fixture.now += 10;
  fixture.report('r1', [], [], 5);
  const runner = fixture.dispatcher.state.runners.get('r1');
  t.is(runner?.listed.processStartedAt, 5);
  t.true(runner?.isEntryOutdated);
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 5 })], fixture.now);
  t.false(runner?.isEntryOutdated);
  t.true(runner?.isFenced);
});

test('a registry entry of a new incarnation does not end tasks started by it', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.dispatcher.updateRunners(
    [listedRunner('r1', { processStartedAt: 2 }), listedRunner('r2')],
    fixture.now + 1,
  );
  t.deepEqual(fixture.step(), { starts: [], stops: [] });
  fixture.now += 10;
  fixture.report('r1', [runningTask(0)], [], 2);
  t.deepEqual(fixture.step(), { starts: [], stops: [] });
});

test('a run that its runner no longer reports has ended', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.now += 10;
  fixture.report('r1');
  t.deepEqual(
    fixture.step().stops.map(({ runnerId }) => runnerId),
    ['r2'],
  );
});

test('a report requested before the start does not end the run', (t) => {
  const fixture = new DispatchFixture();
  fixture.report('r1');
  fixture.report('r2');
  const requestedAt = fixture.now;
  const commands = fixture.step();
  fixture.recordStartOutcomes(commands, StartOutcome.started);
  const outdated = { processStartedAt: 1, requestedAt, running: [], ended: [], hasMoreEnds: false };
  fixture.dispatcher.applyReport('r1', outdated, fixture.now + 1);
  t.deepEqual(fixture.step().stops, []);
});

test('a cancelled job is stopped and does not start again', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.dispatcher.cancelJob(fixtureJobId, fixture.now);
  t.is(fixture.state, 'cancelled');
  t.is(fixture.step().stops.length, 2);
  fixture.report('r1', [], [endedTask(1, 0, RunEnd.stopped)]);
  fixture.report('r2', [], [endedTask(1, 1, RunEnd.stopped)]);
  t.is(fixture.step(9_000).starts.length, 0);
});

test('an unknown run reported by a runner is stopped', (t) => {
  const fixture = new DispatchFixture();
  fixture.report('r1', [{ task: 'ffffffffffffffff.0.0.0', run: 3, saved: '', percent: 1 }]);
  t.deepEqual(fixture.step().stops, [{ runnerId: 'r1', task: 'ffffffffffffffff.0.0.0', run: 3 }]);
});

test('a registry entry missing for less than the grace period is ignored', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  fixture.dispatcher.updateRunners([listedRunner('r2')], fixture.now);
  fixture.dispatcher.updateRunners([listedRunner('r2')], fixture.now + 1_900);
  t.true(fixture.dispatcher.state.runners.get('r1')?.isListed);
  fixture.dispatcher.updateRunners([listedRunner('r2')], fixture.now + 2_100);
  t.false(fixture.dispatcher.state.runners.get('r1')?.isListed);
});

test('tasks of a draining runner are stopped in time to save their progress', (t) => {
  const fixture = new DispatchFixture([{ ...fixtureStep, declaredMs: 9_000 }]);
  fixture.start();
  const draining = listedRunner('r1', { isDraining: true, minRemainingMs: 2_000 });
  fixture.dispatcher.updateRunners([draining, listedRunner('r2')], fixture.now);
  fixture.report('r1', [runningTask(0)]);
  fixture.report('r2', [runningTask(1)]);
  t.is(fixture.step(100).stops.length, 0);
  fixture.report('r1', [{ ...runningTask(0), percent: 11 }]);
  fixture.report('r2', [{ ...runningTask(1), percent: 11 }]);
  t.is(fixture.step(900).stops.length, 2);
});

test('a runner that fails a job right after its start is quarantined', (t) => {
  const simulation = new ReplaySimulation(1, 1);
  const single = {
    ...fixtureStep,
    count: 1,
    isGang: false,
    size: { ...fixtureStep.size, accelerators: 1 },
  };
  simulation.submit({ queue: 'urgent', steps: [single], durationMs: 4_000 });
  simulation.run(1_100);
  const [task] = simulation.tasksOn('runner-0-0');
  const [name = '', run] = (task ?? '').split('#');
  const report = {
    processStartedAt: 1,
    requestedAt: simulation.now,
    running: [],
    ended: [{ number: 1, task: name, run: Number(run), end: RunEnd.failed, saved: '' }],
    hasMoreEnds: false,
  };
  simulation.dispatcher.applyReport('runner-0-0', report, simulation.now);
  t.true(
    (simulation.dispatcher.state.runners.get('runner-0-0')?.quarantinedUntil ?? 0) > simulation.now,
  );
});

test('a stalled task is stopped and its runner quarantined', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  for (let round = 0; round < 9; round += 1) {
    fixture.now += 400;
    fixture.report('r1', [runningTask(0)]);
    fixture.report('r2', [{ ...runningTask(1), percent: 10 + round }]);
    fixture.dispatcher.recordLeaseExtension('r1', fixture.now);
    fixture.dispatcher.recordLeaseExtension('r2', fixture.now);
  }
  t.is(fixture.step().stops.length, 2);
  t.true((fixture.dispatcher.state.runners.get('r1')?.quarantinedUntil ?? 0) > fixture.now);
});

// Wide gangs at 80 % were stopped on runners that hung for less time than their work takes to repeat.
test('a stalled run goes on until waiting has cost as much as repeating its unsaved work', (t) => {
  const unsaved = { ...fixtureStep, savesProgress: false };
  const fixture = new DispatchFixture([unsaved]);
  fixture.start();
  const report = (percent: number): number => {
    fixture.now += 400;
    fixture.report('r1', [{ ...runningTask(0), percent }]);
    fixture.report('r2', [{ ...runningTask(1), percent: 100 }]);
    fixture.dispatcher.recordLeaseExtension('r1', fixture.now);
    fixture.dispatcher.recordLeaseExtension('r2', fixture.now);
    return fixture.step().stops.length;
  };
  for (let round = 0; round < 15; round += 1) {
    t.is(report(round), 0);
  }
  const stalledAt = fixture.now;
  let stops = 0;
  while (stops === 0 && fixture.now < stalledAt + 20_000) {
    stops = report(14);
  }
  const stalledMs = fixture.now - stalledAt;
  t.true(stalledMs >= 5_600 && stalledMs <= 7_500, `${stalledMs} ms`);
  t.true((fixture.dispatcher.state.runners.get('r1')?.quarantinedUntil ?? 0) > 0);
});

test('a gang member at 100 % may wait for the others', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  for (let round = 0; round < 9; round += 1) {
    fixture.now += 400;
    fixture.report('r1', [{ ...runningTask(0), percent: 100 }]);
    fixture.report('r2', [{ ...runningTask(1), percent: 10 + round }]);
    fixture.dispatcher.recordLeaseExtension('r1', fixture.now);
    fixture.dispatcher.recordLeaseExtension('r2', fixture.now);
  }
  t.is(fixture.step().stops.length, 0);
  t.true((fixture.dispatcher.state.runners.get('r1')?.quarantinedUntil ?? 0) <= fixture.now);
});

test('a lasting task is restarted after a successful end', (t) => {
  const lasting = { ...fixtureStep, count: 1, isGang: false, isLasting: true };
  const fixture = new DispatchFixture([lasting]);
  fixture.start();
  fixture.report('r1', [], [endedTask(1, 0, RunEnd.done)]);
  fixture.report('r2');
  t.is(fixture.step().starts.length, 1);
  t.is(fixture.state, 'running');
});

// A listing may take seconds to arrive over a slow link.
test('the departure of a draining runner counts from the request for its listing', (t) => {
  const fixture = new DispatchFixture();
  const draining = listedRunner('r1', { isDraining: true, minRemainingMs: 4_000 });
  const requestedAt = fixture.now;
  fixture.dispatcher.updateRunners([draining], requestedAt + 3_000, requestedAt);
  t.is(fixture.dispatcher.state.runners.get('r1')?.departsAt, requestedAt + 4_000);
});
