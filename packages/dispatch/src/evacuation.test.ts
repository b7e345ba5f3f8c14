import { DispatchFixture, fixtureStep, listedRunner, runningTask } from '@apricothoist/testing';
import test from 'ava';

import type { Step } from './Job.js';
import { placementRestriction } from './RunnerAvailability.js';
import { StartOutcome } from './StartOutcome.js';

const evacuated = new Set(['a']);
const evacuationMs = 5_000;
/** Milliseconds after which a round is due without an event. */
const checkMs = 100;
const single: Step = { ...fixtureStep, count: 1 };

/** Two runners in data centre `a`, which is evacuated, and one in `b`. */
function evacuatedFixture(steps: readonly Step[]): DispatchFixture {
  const fixture = new DispatchFixture(steps, undefined, ['r1', 'r2'], { evacuationMs });
  const entries = [listedRunner('r1'), listedRunner('r2'), listedRunner('r3', { dataCentre: 'b' })];
  fixture.dispatcher.updateRunners(entries, fixture.now);
  ['r1', 'r2', 'r3'].forEach((id) => fixture.report(id));
  fixture.dispatcher.evacuate(evacuated, fixture.now);
  return fixture;
}

test('nothing is placed in an evacuated data centre', (t) => {
  const { starts } = evacuatedFixture([single]).step();
  t.deepEqual(
    starts.map(({ runnerId }) => runnerId),
    ['r3'],
  );
});

test('a gang that fits only into an evacuated data centre waits until it is taken back', (t) => {
  const fixture = evacuatedFixture([fixtureStep]);
  t.is(fixture.step().starts.length, 0);
  fixture.dispatcher.evacuate(new Set(), fixture.now);
  t.is(fixture.step().starts.length, 2);
});

test('a start that is decided but not sent yet is held back, and what runs goes on', (t) => {
  const fixture = new DispatchFixture(undefined, undefined, undefined, { evacuationMs });
  fixture.dispatcher.evacuate(new Set(), fixture.now);
  ['r1', 'r2'].forEach((id) => fixture.report(id));
  const { starts } = fixture.step();
  const [first, second] = starts;
  t.true(first !== undefined && second !== undefined);
  if (first === undefined || second === undefined) {
    return;
  }
  t.true(fixture.dispatcher.isStartWanted(second, fixture.now));
  fixture.dispatcher.evacuate(evacuated, fixture.now);
  t.false(fixture.dispatcher.isStartWanted(second, fixture.now));
  // The command that was sent before has been executed.
  fixture.dispatcher.recordStartOutcomes(
    first.runnerId,
    first.task,
    first.run,
    [StartOutcome.started],
    fixture.now,
  );
  fixture.report(first.runnerId, [runningTask(0)]);
  t.deepEqual(fixture.step().stops, []);
});

// The history of the store may be dropped before a watch has delivered the request.
test('nothing starts while a request that is due may be unknown', (t) => {
  const fixture = new DispatchFixture([single], undefined, ['r1'], { evacuationMs });
  fixture.report('r1');
  t.is(fixture.step().starts.length, 0, 'before the first read');
  fixture.dispatcher.evacuate(new Set(), fixture.now - evacuationMs);
  t.is(fixture.step(checkMs).starts.length, 0, 'after the bound');
  fixture.dispatcher.evacuate(new Set(), fixture.now);
  t.is(fixture.step(checkMs).starts.length, 1);
});

test('reservations in an evacuated data centre are dropped', (t) => {
  const fixture = new DispatchFixture([single], undefined, ['r1'], { evacuationMs });
  const { dispatcher } = fixture;
  // The runner has not reported, so that the step creates the task group and starts nothing.
  fixture.step();
  const group = [...(dispatcher.state.jobs.values().next().value?.groups.values() ?? [])][0];
  t.true(group !== undefined);
  if (group === undefined) {
    return;
  }
  dispatcher.evacuate(evacuated, fixture.now);
  group.apply('reserve');
  group.reservedUntil = Infinity;
  dispatcher.state.reserved.add(group);
  dispatcher.state.runners.get('r1')?.reservations.set(group, 1);
  fixture.report('r1');
  t.is(fixture.step(checkMs).starts.length, 0);
  t.is(group.phase, 'waiting');
});

test('admission counts the runners that remain', (t) => {
  const fixture = evacuatedFixture([fixtureStep]);
  const largest = (): number | undefined =>
    fixture.dispatcher.describeQueues(fixture.now).get('urgent')?.largestRunner;
  t.is(largest(), 8);
  fixture.dispatcher.evacuate(new Set(['a', 'b']), fixture.now);
  t.is(largest(), 0);
  const runner = fixture.dispatcher.state.runners.get('r3');
  t.is(runner && placementRestriction(fixture.dispatcher.state, runner, fixture.now), 'evacuated');
});

test('where no data centre is evacuated, the age of that knowledge does not matter', (t) => {
  const fixture = new DispatchFixture();
  ['r1', 'r2'].forEach((id) => fixture.report(id));
  t.is(fixture.step().starts.length, 2);
});
