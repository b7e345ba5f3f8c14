import { ReplayWorld } from '@apricothoist/testing';
import test from 'ava';

const whole = { cpu: 3_700, memoryMb: 15_000, accelerators: 8 };
const single = { cpu: 2_000, memoryMb: 8_000, accelerators: 1 };
/** Longest time until a guaranteed job has to have begun, from the users' sheet. */
const reclaimMs = 3_400;

function fill(world: ReplayWorld, runners: number, savesProgress: boolean): string[] {
  return Array.from({ length: runners }, () =>
    world.submit({
      queue: 'batch',
      steps: [{ count: 8, size: single, savesProgress }],
      durationMs: 60_000,
    }),
  );
}

test('a guaranteed gang begins in time although everything is lent out', (t) => {
  const world = new ReplayWorld(2, 4);
  fill(world, 8, false);
  world.play(3_000);
  const id = world.submit({
    queue: 'urgent',
    steps: [{ count: 4, size: whole, isGang: true, prefersOneRack: true }],
    durationMs: 2_000,
  });
  world.play(8_000);
  const job = world.jobs.get(id);
  t.is(job?.state, 'completed');
  t.true((job?.startedAt ?? Infinity) - (job?.arrivedAt ?? 0) <= reclaimMs);
});

test('work that a stop saves is stopped before work that would be lost', (t) => {
  const world = new ReplayWorld(1, 4);
  fill(world, 2, false);
  fill(world, 2, true);
  world.play(10_000);
  world.submit({
    queue: 'urgent',
    steps: [{ count: 2, size: whole, isGang: true }],
    durationMs: 900,
  });
  world.play(14_000);
  t.is(world.wastedCoreSeconds, 0);
});

test('only as much is stopped as the gang needs', (t) => {
  const world = new ReplayWorld(1, 4);
  fill(world, 4, false);
  world.play(3_000);
  world.submit({
    queue: 'urgent',
    steps: [{ count: 3, size: single, isGang: true }],
    durationMs: 900,
  });
  world.play(4_500);
  const stopped = world.decisions.filter(
    ({ kind, fields }) => kind === 'unitAborted' && fields.reason === 'reclaimed',
  );
  t.is(stopped.length, 3);
});

test('two urgent gangs in a row do not stop the same room twice', (t) => {
  const world = new ReplayWorld(1, 4);
  fill(world, 4, false);
  world.play(3_000);
  const gang = {
    queue: 'urgent',
    steps: [{ count: 1, size: whole, isGang: true }],
    durationMs: 900,
  };
  world.submit(gang);
  world.play(3_200);
  world.submit(gang);
  world.play(7_000);
  const stopped = world.decisions.filter(
    ({ kind, fields }) => kind === 'unitAborted' && fields.reason === 'reclaimed',
  );
  t.is(stopped.length, 16);
  t.true(
    [...world.jobs.values()]
      .filter((job) => job.queue === 'urgent')
      .every((job) => job.endedAt > 0),
  );
});

test('a small job beyond the guarantee does not throw much work away', (t) => {
  const world = new ReplayWorld(1, 1);
  world.submit({
    queue: 'large',
    account: 'bert',
    steps: [{ count: 1, size: { ...whole, cpu: 30_000 } }],
    durationMs: 30_000,
  });
  world.play(25_000);
  world.submit({
    queue: 'urgent',
    account: 'bert',
    steps: [{ count: 1, size: single, declaredMs: 200 }],
    durationMs: 200,
  });
  world.play(26_000);
  t.is(world.wastedCoreSeconds, 0);
});

test('a guaranteed job that is still in time does not wait for the bound of its guarantee', (t) => {
  const world = new ReplayWorld(1, 1);
  world.submit({
    queue: 'large',
    account: 'bert',
    steps: [{ count: 1, size: { ...whole, cpu: 30_000 } }],
    durationMs: 60_000,
  });
  world.play(21_000);
  const id = world.submit({
    queue: 'urgent',
    steps: [{ count: 1, size: whole, declaredMs: 2_500 }],
    durationMs: 2_500,
  });
  world.play(26_000);
  const job = world.jobs.get(id);
  // Its objective leaves it 1.5 s, of which a stop takes 0.9 s.
  t.true((job?.startedAt ?? Infinity) - (job?.arrivedAt ?? 0) <= 1_500);
});

test('lasting tasks are never stopped for others', (t) => {
  const world = new ReplayWorld(1, 1);
  world.submit({
    queue: 'batch',
    steps: [{ count: 8, size: single, isLasting: true }],
    durationMs: 90_000,
  });
  world.play(3_000);
  world.submit({ queue: 'urgent', steps: [{ count: 1, size: whole }], durationMs: 500 });
  world.play(9_000);
  t.is(world.tasksOn('runner-0-0').length, 8);
});
