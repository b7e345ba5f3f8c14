import {
  createSpecification,
  DispatchFixture,
  fixtureQueue,
  fixtureStep,
  runningTask,
} from '@apricothoist/testing';
import test from 'ava';

import type { Step } from './Job.js';
import type { MaintenanceView, MaintenanceWave } from './MaintenancePlan.js';

const maintenanceMs = 2_000;
const single: Step = { ...fixtureStep, isGang: false, count: 1, savesProgress: false };
const half = { ...fixtureStep.size, accelerators: 4 };
/** Milliseconds after which a task of the fixture is expected to have ended. */
const taskMs = single.declaredMs;
const runners = ['r1', 'r2', 'r3'];

function waveOf(change: Partial<MaintenanceWave> = {}): MaintenanceWave {
  const machines = new Set(['m1', 'm2', 'm3']);
  const settled = new Set<string>();
  return { id: '1', machines, maxCount: 1, deadline: 100_000, settled, ...change };
}

/** All machines are up; machine `mN` is runner `rN`. */
function viewOf(
  waves: readonly MaintenanceWave[],
  change: Partial<MaintenanceView> = {},
): MaintenanceView {
  const machines = runners.map((runnerId) => ({
    machine: runnerId.replace('r', 'm'),
    runnerId,
    isUp: true,
  }));
  return {
    waves,
    machines: new Map(machines.map((each) => [each.machine, each])),
    pending: new Map(),
    retryAt: new Map(),
    departed: new Set(),
    maintenanceMs,
    maxCalls: 10,
    ...change,
  };
}

/** Three runners that run the tasks of the steps. */
function busyFixture(steps: readonly Step[], ids: readonly string[] = runners): DispatchFixture {
  const fixture = new DispatchFixture(steps, undefined, ids);
  ids.forEach((id) => fixture.report(id));
  fixture.recordStartOutcomes(fixture.step(), 'started');
  return fixture;
}

function called(fixture: DispatchFixture, view: MaintenanceView): string[] {
  return fixture.dispatcher.maintenance.plan(view, fixture.now).map(({ machine }) => machine);
}

/** Runner with a run of the fixture's job. */
function occupiedRunner(fixture: DispatchFixture): string {
  const occupied = [...fixture.dispatcher.state.runners.values()].find(
    ({ occupants }) => occupants.size > 0,
  );
  return occupied?.id ?? '';
}

function endsOf(fixture: DispatchFixture): string[] {
  return fixture.step(0).stops.map(({ task }) => task);
}

test('machines that are down and calls without a response count towards the limit of a wave', (t) => {
  const fixture = busyFixture([], []);
  const wave = waveOf({ maxCount: 2 });
  t.is(called(fixture, viewOf([wave])).length, 2);
  const view = viewOf([wave]);
  const down = new Map(view.machines).set('m1', { machine: 'm1', runnerId: 'r1', isUp: false });
  t.is(called(fixture, { ...view, machines: down }).length, 1);
  const pending = new Map([['m3', { wave: '1', runnerId: 'r3', isAnswered: false }]]);
  t.deepEqual(called(fixture, { ...view, machines: down, pending }), ['m3'], 'only the repeat');
  t.true(fixture.dispatcher.state.maintenance.has('r3'));
});

test('a machine of two waves needs room in both, and is called for one of them at a time', (t) => {
  const fixture = busyFixture([], []);
  const first = waveOf({ machines: new Set(['m1', 'm2']) });
  const second = waveOf({ id: '2', machines: new Set(['m2', 'm3']) });
  const down = { machine: 'm3', runnerId: undefined, isUp: false };
  const machines = new Map(viewOf([]).machines).set('m3', down);
  t.deepEqual(called(fixture, viewOf([first, second], { machines })), ['m1']);
  const onlyShared = { ...first, settled: new Set(['m1']) };
  t.deepEqual(called(fixture, viewOf([onlyShared, second], { machines })), []);
  const pending = new Map([['m2', { wave: '1', runnerId: 'r2', isAnswered: true }]]);
  t.deepEqual(called(fixture, viewOf([onlyShared, second], { pending })), []);
});

test('idle machines come first, and nothing starts on a prepared one', (t) => {
  const fixture = busyFixture([single], ['r1', 'r2']);
  const occupied = occupiedRunner(fixture).replace('r', 'm');
  const wave = waveOf({ machines: new Set(['m1', 'm2']) });
  t.deepEqual(
    called(fixture, viewOf([wave])),
    ['m1', 'm2'].filter((name) => name !== occupied),
  );
  const other = createSpecification('00000000000000bb', [single]);
  fixture.dispatcher.addJob(other, fixtureQueue, fixture.now, fixture.now);
  t.is(fixture.step(100).starts.length, 0);
  fixture.dispatcher.maintenance.restrictTo([], fixture.now);
  t.is(fixture.step(100).starts.length, 1);
});

// Progress that a stop would have saved was lost with the machine.
test('a run that saves its progress is stopped before its machine is taken down', (t) => {
  const fixture = busyFixture([{ ...single, savesProgress: true }], ['r1']);
  const view = viewOf([waveOf({ machines: new Set(['m1']) })]);
  t.deepEqual(called(fixture, view), []);
  t.is(endsOf(fixture).length, 1);
  t.deepEqual(called(fixture, view), [], 'while the stop lasts');
  const ended = [
    { number: 1, task: runningTask(0).task, run: 1, end: 'stopped' as const, saved: 's' },
  ];
  fixture.report('r1', [], ended);
  t.deepEqual(called(fixture, view), ['m1']);
});

test('a run that cannot save its progress may end if the time of the wave allows', (t) => {
  const fixture = busyFixture([single], ['r1']);
  const view = viewOf([waveOf({ machines: new Set(['m1']), deadline: fixture.now + 10_000 })]);
  t.deepEqual(called(fixture, view), []);
  fixture.now += taskMs - 100;
  t.deepEqual(called(fixture, view), []);
  t.deepEqual(endsOf(fixture), []);
  fixture.now += 10_000;
  t.deepEqual(called(fixture, view), ['m1'], 'the time is over');
  t.is(endsOf(fixture).length, 1);
});

test('maintenance leaves at most the allowed number of tasks of a lasting step missing', (t) => {
  const lasting = { ...single, count: 4, size: half, isLasting: true };
  const fixture = busyFixture([{ ...lasting, mayMiss: 1 }], ['r1', 'r2']);
  const wave = waveOf({ machines: new Set(['m1', 'm2']), maxCount: 2, deadline: 0 });
  const stopped = new Set<string>();
  for (let tick = 0; tick < 4; tick += 1) {
    t.deepEqual(called(fixture, viewOf([wave])), []);
    endsOf(fixture).forEach((task) => stopped.add(task));
    fixture.now += 1_000;
  }
  t.is(stopped.size, 1, 'none has started elsewhere');
});

test('tasks of which none may be missed hold their machines back, also when time is over', (t) => {
  const lasting = { ...single, isLasting: true, mayMiss: 0 };
  const fixture = busyFixture([lasting], ['r1']);
  const wave = waveOf({ machines: new Set(['m1']), deadline: 0 });
  t.deepEqual(called(fixture, viewOf([wave])), []);
  t.is(endsOf(fixture).length, 0);
  t.is(fixture.dispatcher.state.maintenance.size, 0);
});

test('guaranteed accelerators in use fit on what is left', (t) => {
  const fixture = busyFixture([{ ...single, count: 2 }]);
  const { dispatcher } = fixture;
  const account = [...dispatcher.state.jobs.values()][0]?.specification.account ?? '';
  const guarantee = (guaranteedAccelerators: number): void =>
    dispatcher.configure(
      new Map([[fixtureQueue.name, fixtureQueue]]),
      new Map([[account, { name: account, guaranteedAccelerators }]]),
    );
  const wave = waveOf({ maxCount: 3, deadline: 0 });
  guarantee(16);
  t.is(called(fixture, viewOf([wave])).length, 1);
  t.is(dispatcher.state.maintenance.size, 1);
  guarantee(0);
  t.is(called(fixture, viewOf([wave])).length, 3);
});
