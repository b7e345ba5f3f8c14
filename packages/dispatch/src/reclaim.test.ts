import { ReplaySimulation } from '@apricothoist/testing';
import test from 'ava';

/** Size of a task that needs all accelerators of a runner. */
const fullRunnerSize = { cpu: 3_700, memoryMb: 15_000, accelerators: 8 };
/** Size of a task that needs one accelerator. */
const oneAcceleratorSize = { cpu: 2_000, memoryMb: 8_000, accelerators: 1 };
/** Longest time until a guaranteed job must have started, from the service requirements. */
const reclaimMs = 3_400;

function fillRunners(
  simulation: ReplaySimulation,
  runners: number,
  savesProgress: boolean,
): string[] {
  return Array.from({ length: runners }, () =>
    simulation.submit({
      queue: 'batch',
      steps: [{ count: 8, size: oneAcceleratorSize, savesProgress }],
      durationMs: 60_000,
    }),
  );
}

test('a guaranteed gang starts in time although all capacity is in use', (t) => {
  const simulation = new ReplaySimulation(2, 4);
  fillRunners(simulation, 8, false);
  simulation.run(3_000);
  const id = simulation.submit({
    queue: 'urgent',
    steps: [{ count: 4, size: fullRunnerSize, isGang: true, prefersOneRack: true }],
    durationMs: 2_000,
  });
  simulation.run(8_000);
  const job = simulation.jobs.get(id);
  t.is(job?.state, 'completed');
  t.true((job?.startedAt ?? Infinity) - (job?.arrivedAt ?? 0) <= reclaimMs);
});

test('work that is saved on a stop is preempted before work that would be lost', (t) => {
  const simulation = new ReplaySimulation(1, 4);
  fillRunners(simulation, 2, false);
  fillRunners(simulation, 2, true);
  simulation.run(10_000);
  simulation.submit({
    queue: 'urgent',
    steps: [{ count: 2, size: fullRunnerSize, isGang: true }],
    durationMs: 900,
  });
  simulation.run(14_000);
  t.is(simulation.wastedCoreSeconds, 0);
});

test('no more work is preempted than the gang needs', (t) => {
  const simulation = new ReplaySimulation(1, 4);
  fillRunners(simulation, 4, false);
  simulation.run(3_000);
  simulation.submit({
    queue: 'urgent',
    steps: [{ count: 3, size: oneAcceleratorSize, isGang: true }],
    durationMs: 900,
  });
  simulation.run(4_500);
  const stopped = simulation.decisions.filter(
    ({ kind, fields }) => kind === 'groupAborted' && fields.reason === 'reclaimed',
  );
  t.is(stopped.length, 3);
});

test('two urgent gangs in a row do not preempt more than both need', (t) => {
  const simulation = new ReplaySimulation(1, 4);
  fillRunners(simulation, 4, false);
  simulation.run(3_000);
  const gang = {
    queue: 'urgent',
    steps: [{ count: 1, size: fullRunnerSize, isGang: true }],
    durationMs: 900,
  };
  simulation.submit(gang);
  simulation.run(3_200);
  simulation.submit(gang);
  simulation.run(7_000);
  const stopped = simulation.decisions.filter(
    ({ kind, fields }) => kind === 'groupAborted' && fields.reason === 'reclaimed',
  );
  t.is(stopped.length, 16);
  t.true(
    [...simulation.jobs.values()]
      .filter((job) => job.queue === 'urgent')
      .every((job) => job.endedAt > 0),
  );
});

test('a small job without a guarantee does not preempt a large amount of unsaved work', (t) => {
  const simulation = new ReplaySimulation(1, 1);
  simulation.submit({
    queue: 'large',
    account: 'bert',
    steps: [{ count: 1, size: { ...fullRunnerSize, cpu: 30_000 } }],
    durationMs: 30_000,
  });
  simulation.run(25_000);
  simulation.submit({
    queue: 'urgent',
    account: 'bert',
    steps: [{ count: 1, size: oneAcceleratorSize, declaredMs: 200 }],
    durationMs: 200,
  });
  simulation.run(26_000);
  t.is(simulation.wastedCoreSeconds, 0);
});

test('a guaranteed job that is still in time does not wait for the bound of its guarantee', (t) => {
  const simulation = new ReplaySimulation(1, 1);
  simulation.submit({
    queue: 'large',
    account: 'bert',
    steps: [{ count: 1, size: { ...fullRunnerSize, cpu: 30_000 } }],
    durationMs: 60_000,
  });
  simulation.run(21_000);
  const id = simulation.submit({
    queue: 'urgent',
    steps: [{ count: 1, size: fullRunnerSize, declaredMs: 2_500 }],
    durationMs: 2_500,
  });
  simulation.run(26_000);
  const job = simulation.jobs.get(id);
  // The objective leaves a slack of 1.5 s, of which a stop takes 0.9 s.
  t.true((job?.startedAt ?? Infinity) - (job?.arrivedAt ?? 0) <= 1_500);
});

test('lasting tasks are never preempted', (t) => {
  const simulation = new ReplaySimulation(1, 1);
  simulation.submit({
    queue: 'batch',
    steps: [{ count: 8, size: oneAcceleratorSize, isLasting: true }],
    durationMs: 90_000,
  });
  simulation.run(3_000);
  simulation.submit({
    queue: 'urgent',
    steps: [{ count: 1, size: fullRunnerSize }],
    durationMs: 500,
  });
  simulation.run(9_000);
  t.is(simulation.tasksOn('runner-0-0').length, 8);
});
