import {
  DispatchScene,
  endedTask,
  listedRunner,
  ReplayWorld,
  runningTask,
  sceneJob,
  sceneQueue,
  sceneStep,
} from '@apricothoist/testing';
import test from 'ava';

import type { EndedTask } from './ReportReader.js';
import { RunEnd, StartOutcome } from './UnitLifecycle.js';

test('nothing starts on a runner that has not accepted the token of this scheduler', (t) => {
  const scene = new DispatchScene();
  t.is(scene.step().starts.length, 0);
  scene.report('r1');
  t.is(scene.step().starts.length, 0);
  scene.report('r2');
  t.is(scene.step().starts.length, 2);
});

test('one done of a gang is the whole gang’s, and stands', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.report('r1', [], [endedTask(1, 0, RunEnd.done)]);
  t.is(scene.state, 'completed');
  scene.report('r2', [], [endedTask(1, 1, RunEnd.failed)]);
  t.is(scene.state, 'completed');
  t.deepEqual(scene.step(), { starts: [], stops: [] });
});

test('a member that is listed as running just after its gang is done is not stopped', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.report('r1', [], [endedTask(1, 0, RunEnd.done)]);
  scene.report('r2', [{ ...runningTask(1), percent: 100 }]);
  t.deepEqual(scene.step().stops, []);
  scene.report('r2', [runningTask(1, 2)]);
  t.is(scene.step().stops.length, 1, 'a run that was never ordered');
});

test('a start without an answer is stopped for certain before another run', (t) => {
  const scene = new DispatchScene();
  scene.report('r1');
  scene.report('r2');
  const [first, second] = scene.step().starts;
  scene.dispatcher.answerStart('r1', first?.task ?? '', 1, StartOutcome.started, scene.now);
  scene.dispatcher.answerStart('r2', second?.task ?? '', 1, StartOutcome.unknown, scene.now);
  const { starts, stops } = scene.step();
  t.is(starts.length, 0);
  t.deepEqual(stops.map(({ runnerId }) => runnerId).sort(), ['r1', 'r2']);
  scene.report('r1', [], [endedTask(1, 0, RunEnd.stopped, 'half')]);
  scene.report('r2');
  t.is(scene.step(500).starts.length, 0, 'the start on r2 may still be carried out');
  scene.dispatcher.answerStop('r2', second?.task ?? '', 1, scene.now);
  scene.now += 1;
  scene.report('r2');
  const again = scene.step(1_500).starts;
  t.deepEqual(
    again.map(({ run, saved }) => ({ run, saved })),
    [
      { run: 2, saved: 'half' },
      { run: 2, saved: 'half' },
    ],
  );
});

test('failures of a gang count once a run, and end the job at the limit of its queue', (t) => {
  const scene = new DispatchScene();
  for (let run = 1; run <= sceneQueue.maxAttempts; run += 1) {
    scene.report('r1');
    scene.report('r2');
    const orders = scene.step(30_000);
    t.deepEqual(
      orders.starts.map((order) => order.run),
      [run, run],
    );
    scene.answer(orders, StartOutcome.started);
    const task = (index: number, end: RunEnd): EndedTask => ({
      ...endedTask(run, index, end),
      run,
    });
    scene.report('r1', [], [task(0, RunEnd.failed)]);
    t.is(scene.state, 'running');
    scene.report('r2', [], [task(1, RunEnd.failed)]);
    t.is(scene.state, run === sceneQueue.maxAttempts ? 'failed' : 'running');
  }
  t.is(scene.step(60_000).starts.length, 0);
});

test('a silent runner keeps its tasks until its lease is over for certain', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.dispatcher.noteSilence('r1');
  scene.report('r2', [runningTask(1)]);
  scene.step(6_000);
  t.is(scene.dispatcher.state.runners.get('r1')?.occupants.size, 1);
  scene.step(400);
  t.is(scene.dispatcher.state.runners.get('r1')?.occupants.size, 0);
});

test('a runner in a new life runs nothing of the former one', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.now += 10;
  scene.report('r1', [], [], 2);
  const { stops } = scene.step();
  t.deepEqual(
    stops.map(({ runnerId }) => runnerId),
    ['r2'],
  );
});

test('a task that was started in the new life of its runner goes on', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.now += 10;
  scene.report('r1', [runningTask(0)], [], 2);
  t.deepEqual(scene.step(), { starts: [], stops: [] });
  scene.report('r1', [], [endedTask(1, 0, RunEnd.done)], 2);
  t.is(scene.state, 'completed');
});

test('an entry of a new life does not end what was started in that life', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.dispatcher.listRunners(
    [listedRunner('r1', { bornAt: 2 }), listedRunner('r2')],
    scene.now + 1,
  );
  t.deepEqual(scene.step(), { starts: [], stops: [] });
  scene.now += 10;
  scene.report('r1', [runningTask(0)], [], 2);
  t.deepEqual(scene.step(), { starts: [], stops: [] });
});

test('a run that its runner does not list any more is over', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.now += 10;
  scene.report('r1');
  t.deepEqual(
    scene.step().stops.map(({ runnerId }) => runnerId),
    ['r2'],
  );
});

test('a report asked for before the start does not end the run', (t) => {
  const scene = new DispatchScene();
  scene.report('r1');
  scene.report('r2');
  const askedAt = scene.now;
  const orders = scene.step();
  scene.answer(orders, StartOutcome.started);
  const old = { bornAt: 1, askedAt, running: [], ended: [] };
  scene.dispatcher.readReport('r1', old, scene.now + 1);
  t.deepEqual(scene.step().stops, []);
});

test('a cancelled job is stopped and does not start again', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.dispatcher.cancelJob(sceneJob, scene.now);
  t.is(scene.state, 'cancelled');
  t.is(scene.step().stops.length, 2);
  scene.report('r1', [], [endedTask(1, 0, RunEnd.stopped)]);
  scene.report('r2', [], [endedTask(1, 1, RunEnd.stopped)]);
  t.is(scene.step(9_000).starts.length, 0);
});

test('an unknown run on a runner is stopped', (t) => {
  const scene = new DispatchScene();
  scene.report('r1', [{ task: 'ffffffffffffffff.0.0.0', run: 3, saved: '', percent: 1 }]);
  t.deepEqual(scene.step().stops, [{ runnerId: 'r1', task: 'ffffffffffffffff.0.0.0', run: 3 }]);
});

test('an entry that is missing for less than the grace of the registry changes nothing', (t) => {
  const scene = new DispatchScene();
  scene.start();
  scene.dispatcher.listRunners([listedRunner('r2')], scene.now);
  scene.dispatcher.listRunners([listedRunner('r2')], scene.now + 1_900);
  t.true(scene.dispatcher.state.runners.get('r1')?.isListed);
  scene.dispatcher.listRunners([listedRunner('r2')], scene.now + 2_100);
  t.false(scene.dispatcher.state.runners.get('r1')?.isListed);
});

test('nothing starts on a draining runner, and progress is saved before it leaves', (t) => {
  const scene = new DispatchScene([{ ...sceneStep, declaredMs: 9_000 }]);
  scene.start();
  const draining = listedRunner('r1', { isDraining: true, staysForMs: 2_000 });
  scene.dispatcher.listRunners([draining, listedRunner('r2')], scene.now);
  scene.report('r1', [runningTask(0)]);
  scene.report('r2', [runningTask(1)]);
  t.is(scene.step(100).stops.length, 0);
  scene.report('r1', [{ ...runningTask(0), percent: 20 }]);
  scene.report('r2', [{ ...runningTask(1), percent: 20 }]);
  t.is(scene.step(900).stops.length, 2);
});

test('a runner that fails jobs at once is held back', (t) => {
  const world = new ReplayWorld(1, 1);
  const single = {
    ...sceneStep,
    count: 1,
    isGang: false,
    size: { ...sceneStep.size, accelerators: 1 },
  };
  world.submit({ queue: 'urgent', steps: [single], durationMs: 4_000 });
  world.play(1_100);
  const [task] = world.tasksOn('runner-0-0');
  const [name = '', run] = (task ?? '').split('#');
  const report = {
    bornAt: 1,
    askedAt: world.now,
    running: [],
    ended: [{ number: 1, task: name, run: Number(run), end: RunEnd.failed, saved: '' }],
  };
  world.dispatcher.readReport('runner-0-0', report, world.now);
  t.true((world.dispatcher.state.runners.get('runner-0-0')?.quarantinedUntil ?? 0) > world.now);
});

test('a task without progress is moved, and its runner held back', (t) => {
  const scene = new DispatchScene();
  scene.start();
  for (let round = 0; round < 9; round += 1) {
    scene.now += 400;
    scene.report('r1', [runningTask(0)]);
    scene.report('r2', [{ ...runningTask(1), percent: 10 + round }]);
    scene.dispatcher.noteLease('r1', scene.now);
    scene.dispatcher.noteLease('r2', scene.now);
  }
  t.is(scene.step().stops.length, 2);
  t.true((scene.dispatcher.state.runners.get('r1')?.quarantinedUntil ?? 0) > scene.now);
});

test('a gang member that is through with its work may wait for the others', (t) => {
  const scene = new DispatchScene();
  scene.start();
  for (let round = 0; round < 9; round += 1) {
    scene.now += 400;
    scene.report('r1', [{ ...runningTask(0), percent: 100 }]);
    scene.report('r2', [{ ...runningTask(1), percent: 10 + round }]);
    scene.dispatcher.noteLease('r1', scene.now);
    scene.dispatcher.noteLease('r2', scene.now);
  }
  t.is(scene.step().stops.length, 0);
  t.true((scene.dispatcher.state.runners.get('r1')?.quarantinedUntil ?? 0) <= scene.now);
});

test('a lasting task is started again however it ends', (t) => {
  const lasting = { ...sceneStep, count: 1, isGang: false, isLasting: true };
  const scene = new DispatchScene([lasting]);
  scene.start();
  scene.report('r1', [], [endedTask(1, 0, RunEnd.done)]);
  scene.report('r2');
  t.is(scene.step().starts.length, 1);
  t.is(scene.state, 'running');
});
