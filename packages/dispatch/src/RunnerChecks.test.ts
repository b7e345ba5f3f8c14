import { DispatchFixture, plainStep, runningTask } from '@apricothoist/testing';
import test from 'ava';

import type { Occupant } from './Runner.js';
import { StartOutcome } from './StartOutcome.js';

const runnerIds = ['r1', 'r2', 'r3'];
const wholeRunner = { cpu: 1_000, memoryMb: 1_000, accelerators: 8 };

const isFirst = ({ run }: Occupant): boolean => run === 1;

type Fixture = DispatchFixture & { reportAll: (steadyNow: number) => void };

/** A task on each runner, and a function that extends its lease and reports it. */
function startTasks(): Fixture {
  const step = { ...plainStep, size: wholeRunner, count: runnerIds.length, declaredMs: 60_000 };
  const fixture = new DispatchFixture([step], undefined, runnerIds);
  const { dispatcher } = fixture;
  const reportAll = (steadyNow: number): void => {
    dispatcher.state.runners.forEach(({ id, occupants }) => {
      const indices = [...occupants.values()].map(({ member }) => member.index);
      dispatcher.recordLeaseExtension(id, steadyNow);
      fixture.report(
        id,
        indices.map((index) => runningTask(index)),
      );
    });
  };
  reportAll(fixture.now);
  fixture.recordStartOutcomes(fixture.step(), StartOutcome.started);
  reportAll(fixture.now);
  fixture.step(100);
  return Object.assign(fixture, { reportAll });
}

/** Lets the clocks of the instance part by a step; returns the number of runs stopped. */
function stopsAfterStep(stepMs: number, stalledMs: number): number {
  const fixture = startTasks();
  fixture.now += stepMs;
  const stopped = new Set<string>();
  for (let elapsedMs = 0; elapsedMs < stalledMs; elapsedMs += 400) {
    fixture.now += 400;
    const { now, dispatcher } = fixture;
    fixture.reportAll(now - stepMs);
    dispatcher.step(now, now, now - stepMs).stops.forEach(({ task }) => stopped.add(task));
  }
  return stopped.size;
}

// A step of 3 s stopped the runs on all runners at once and quarantined the runners.
test('a step of the wall clock makes no run look stalled', (t) => {
  t.is(stopsAfterStep(6_000, 1_200), 0);
  t.is(stopsAfterStep(6_000, 10_000), runnerIds.length, 'runs that stand still afterwards');
});

// One reading of the clock ended the runs on all runners, which were at work.
test('a clock that runs ahead does not end the runs on runners that answer', (t) => {
  const fixture = startTasks();
  const { runners } = fixture.dispatcher.state;
  const runs = (): number =>
    [...runners.values()].flatMap(({ occupants }) => [...occupants.values()]).filter(isFirst)
      .length;
  fixture.dispatcher.recordUnansweredCall('r1', fixture.now);
  fixture.step(60_000);
  t.is(runs(), runnerIds.length - 1, 'only those on the silent runner');
  fixture.reportAll(fixture.now);
  fixture.step(5_000);
  t.is(runs(), runnerIds.length - 1);
  fixture.step(2_000);
  fixture.step(2_000);
  t.is(runs(), 0, 'no answer for as long as a call may take');
});
