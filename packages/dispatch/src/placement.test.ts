import { ReplaySimulation } from '@apricothoist/testing';
import test from 'ava';

/** Size of a task that needs all accelerators of a runner. */
const fullRunnerSize = { cpu: 3_700, memoryMb: 15_000, accelerators: 8 };
/** Size of a task that needs one accelerator. */
const oneAcceleratorSize = { cpu: 2_000, memoryMb: 8_000, accelerators: 1 };

/** Runners that hold tasks of the job. */
function runnersOf(
  simulation: ReplaySimulation,
  job: string,
  racks: number,
  perRack: number,
): string[] {
  const runners = Array.from({ length: racks * perRack }, (_, index) => {
    const rack = Math.floor(index / perRack);
    return `runner-${rack}-${index % perRack}`;
  });
  return runners.filter((id) => simulation.tasksOn(id).some((task) => task.startsWith(job)));
}

test('narrow tasks are packed on one runner, so that others stay empty', (t) => {
  const simulation = new ReplaySimulation(2, 3);
  const ids = Array.from({ length: 8 }, () =>
    simulation.submit({
      queue: 'batch',
      steps: [{ count: 1, size: oneAcceleratorSize }],
      durationMs: 9_000,
    }),
  );
  simulation.run(1_200);
  t.is(new Set(ids.flatMap((id) => runnersOf(simulation, id, 2, 3))).size, 1);
});

test('a gang starts with all members or not at all', (t) => {
  const simulation = new ReplaySimulation(1, 3);
  simulation.submit({
    queue: 'batch',
    steps: [{ count: 1, size: oneAcceleratorSize }],
    durationMs: 3_000,
  });
  simulation.run(1_200);
  const id = simulation.submit({
    queue: 'large',
    steps: [{ count: 3, size: fullRunnerSize, isGang: true }],
    durationMs: 1_000,
  });
  simulation.run(3_000);
  t.is(runnersOf(simulation, id, 1, 3).length, 0);
  simulation.run(6_500);
  t.is(simulation.jobs.get(id)?.state, 'completed');
});

test('a gang that prefers one rack is placed in a single rack', (t) => {
  const simulation = new ReplaySimulation(2, 3);
  const id = simulation.submit({
    queue: 'large',
    steps: [{ count: 3, size: fullRunnerSize, isGang: true, prefersOneRack: true }],
    durationMs: 5_000,
  });
  simulation.run(1_200);
  t.is(new Set(runnersOf(simulation, id, 2, 3).map((runner) => runner.split('-')[1])).size, 1);
});

test('a gang does not wait for a single rack while the service is mostly idle', (t) => {
  const simulation = new ReplaySimulation(3, 3);
  [0, 1, 2].forEach((rack) =>
    simulation.submit({
      queue: 'batch',
      steps: [{ count: 1, size: oneAcceleratorSize, requiredLabel: `rack-${rack}` }],
      durationMs: 60_000,
    }),
  );
  simulation.run(1_300);
  const id = simulation.submit({
    queue: 'large',
    steps: [{ count: 3, size: fullRunnerSize, isGang: true, prefersOneRack: true }],
    durationMs: 1_000,
  });
  simulation.run(4_000);
  t.true((simulation.jobs.get(id)?.startedAt ?? 0) > 0);
});

test('a gang wider than any rack is spread over racks', (t) => {
  const simulation = new ReplaySimulation(2, 2);
  const id = simulation.submit({
    queue: 'large',
    steps: [{ count: 4, size: fullRunnerSize, isGang: true, prefersOneRack: true }],
    durationMs: 500,
  });
  simulation.run(2_500);
  t.is(simulation.jobs.get(id)?.state, 'completed');
});

test('data rack, required label and per-runner limit are respected', (t) => {
  const simulation = new ReplaySimulation(3, 2);
  const near = simulation.submit({
    queue: 'batch',
    steps: [{ count: 2, size: oneAcceleratorSize, dataRack: 'rack-2' }],
    durationMs: 9_000,
  });
  const labelled = simulation.submit({
    queue: 'batch',
    steps: [{ count: 2, size: oneAcceleratorSize, requiredLabel: 'rack-1' }],
    durationMs: 9_000,
  });
  const limited = simulation.submit({
    queue: 'batch',
    steps: [{ count: 6, size: oneAcceleratorSize, perRunnerLimit: 1 }],
    durationMs: 9_000,
  });
  simulation.run(1_300);
  t.true(runnersOf(simulation, near, 3, 2).every((runner) => runner.startsWith('runner-2')));
  t.true(runnersOf(simulation, labelled, 3, 2).every((runner) => runner.startsWith('runner-1')));
  t.is(runnersOf(simulation, limited, 3, 2).length, 6);
});

test('a step starts only when its dependencies are done', (t) => {
  const simulation = new ReplaySimulation(1, 2);
  const id = simulation.submit({
    queue: 'batch',
    steps: [
      { count: 2, size: oneAcceleratorSize },
      { count: 1, size: oneAcceleratorSize, after: [0] },
    ],
    durationMs: 1_000,
  });
  simulation.run(1_500);
  const running = ['runner-0-0', 'runner-0-1'].flatMap((runner) => simulation.tasksOn(runner));
  t.true(running.every((task) => task.startsWith(`${id}.0.0`)));
  simulation.run(4_000);
  t.is(simulation.jobs.get(id)?.state, 'completed');
});
