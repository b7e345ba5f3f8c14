import { ReplayWorld } from '@apricothoist/testing';
import test from 'ava';

const whole = { cpu: 3_700, memoryMb: 15_000, accelerators: 8 };
const single = { cpu: 2_000, memoryMb: 8_000, accelerators: 1 };

/** Runners by the task that they hold. */
function placesOf(world: ReplayWorld, job: string, racks: number, perRack: number): string[] {
  const runners = Array.from({ length: racks * perRack }, (_, index) => {
    const rack = Math.floor(index / perRack);
    return `runner-${rack}-${index % perRack}`;
  });
  return runners.filter((id) => world.tasksOn(id).some((task) => task.startsWith(job)));
}

test('narrow tasks share a runner, so that others stay whole', (t) => {
  const world = new ReplayWorld(2, 3);
  const ids = Array.from({ length: 8 }, () =>
    world.submit({ queue: 'batch', steps: [{ count: 1, size: single }], durationMs: 9_000 }),
  );
  world.play(1_200);
  t.is(new Set(ids.flatMap((id) => placesOf(world, id, 2, 3))).size, 1);
});

test('a gang starts whole or not at all', (t) => {
  const world = new ReplayWorld(1, 3);
  world.submit({ queue: 'batch', steps: [{ count: 1, size: single }], durationMs: 3_000 });
  world.play(1_200);
  const id = world.submit({
    queue: 'large',
    steps: [{ count: 3, size: whole, isGang: true }],
    durationMs: 1_000,
  });
  world.play(3_000);
  t.is(placesOf(world, id, 1, 3).length, 0);
  world.play(6_500);
  t.is(world.jobs.get(id)?.state, 'completed');
});

test('a gang that prefers one rack gets one, and waits for it', (t) => {
  const world = new ReplayWorld(2, 3);
  const id = world.submit({
    queue: 'large',
    steps: [{ count: 3, size: whole, isGang: true, prefersOneRack: true }],
    durationMs: 5_000,
  });
  world.play(1_200);
  t.is(new Set(placesOf(world, id, 2, 3).map((runner) => runner.split('-')[1])).size, 1);
});

test('a gang does not wait for one rack while most runners are empty', (t) => {
  const world = new ReplayWorld(3, 3);
  [0, 1, 2].forEach((rack) =>
    world.submit({
      queue: 'batch',
      steps: [{ count: 1, size: single, requiredLabel: `rack-${rack}` }],
      durationMs: 60_000,
    }),
  );
  world.play(1_300);
  const id = world.submit({
    queue: 'large',
    steps: [{ count: 3, size: whole, isGang: true, prefersOneRack: true }],
    durationMs: 1_000,
  });
  world.play(4_000);
  t.true((world.jobs.get(id)?.startedAt ?? 0) > 0);
});

test('a gang wider than any rack is spread', (t) => {
  const world = new ReplayWorld(2, 2);
  const id = world.submit({
    queue: 'large',
    steps: [{ count: 4, size: whole, isGang: true, prefersOneRack: true }],
    durationMs: 500,
  });
  world.play(2_500);
  t.is(world.jobs.get(id)?.state, 'completed');
});

test('the rack of the data, the label and the limit for each runner are kept', (t) => {
  const world = new ReplayWorld(3, 2);
  const near = world.submit({
    queue: 'batch',
    steps: [{ count: 2, size: single, dataRack: 'rack-2' }],
    durationMs: 9_000,
  });
  const labelled = world.submit({
    queue: 'batch',
    steps: [{ count: 2, size: single, requiredLabel: 'rack-1' }],
    durationMs: 9_000,
  });
  const limited = world.submit({
    queue: 'batch',
    steps: [{ count: 6, size: single, perRunnerLimit: 1 }],
    durationMs: 9_000,
  });
  world.play(1_300);
  t.true(placesOf(world, near, 3, 2).every((runner) => runner.startsWith('runner-2')));
  t.true(placesOf(world, labelled, 3, 2).every((runner) => runner.startsWith('runner-1')));
  t.is(placesOf(world, limited, 3, 2).length, 6);
});

test('a step starts only when the steps it needs are done', (t) => {
  const world = new ReplayWorld(1, 2);
  const id = world.submit({
    queue: 'batch',
    steps: [
      { count: 2, size: single },
      { count: 1, size: single, after: [0] },
    ],
    durationMs: 1_000,
  });
  world.play(1_500);
  const running = ['runner-0-0', 'runner-0-1'].flatMap((runner) => world.tasksOn(runner));
  t.true(running.every((task) => task.startsWith(`${id}.0.0`)));
  world.play(4_000);
  t.is(world.jobs.get(id)?.state, 'completed');
});
