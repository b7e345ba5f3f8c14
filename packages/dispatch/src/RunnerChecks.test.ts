import { DispatchFixture, plainStep, runningTask } from '@apricothoist/testing';
import test from 'ava';

const runnerIds = ['r1', 'r2', 'r3'];
const wholeRunner = { cpu: 1_000, memoryMb: 1_000, accelerators: 8 };

/** Lets the clocks of the instance part by a step while a task runs on each runner; returns the number of runs stopped. */
function stopsAfterStep(stepMs: number, stalledMs: number): number {
  const step = { ...plainStep, size: wholeRunner, count: runnerIds.length, declaredMs: 60_000 };
  const fixture = new DispatchFixture([step], undefined, runnerIds);
  const { dispatcher } = fixture;
  const report = (): void => {
    const places = [...dispatcher.state.runners.values()];
    places.forEach(({ id, occupants }) => {
      const index = Number([...occupants.values()][0]?.member.task.split('.').at(-1));
      dispatcher.recordLeaseExtension(id, fixture.now);
      fixture.report(id, Number.isNaN(index) ? [] : [runningTask(index)]);
    });
  };
  report();
  const { starts } = fixture.step();
  starts.forEach(({ runnerId, task, run }) => {
    dispatcher.recordLeaseExtension(runnerId, fixture.now);
    dispatcher.recordStartOutcomes(runnerId, task, run, ['started'], fixture.now);
  });
  report();
  fixture.step(100);
  fixture.now += stepMs;
  const stopped = new Set<string>();
  for (let elapsedMs = 0; elapsedMs < stalledMs; elapsedMs += 400) {
    fixture.now += 400;
    report();
    const { now } = fixture;
    dispatcher.step(now, now, now - stepMs).stops.forEach(({ task }) => stopped.add(task));
  }
  return stopped.size;
}

// A step of 3 s stopped the runs on all runners at once and quarantined the runners.
test('a step of the wall clock makes no run look stalled', (t) => {
  t.is(stopsAfterStep(6_000, 1_200), 0);
  t.is(stopsAfterStep(6_000, 10_000), runnerIds.length, 'runs that stand still afterwards');
});
