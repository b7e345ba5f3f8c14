import type { Arrival } from '@apricothoist/testing';
import { generateLoad, grownLoad, replayQueues, ReplayWorld } from '@apricothoist/testing';
import test from 'ava';

import type { DispatchPolicy } from './DispatchState.js';
import { defaultPolicy } from './DispatchState.js';
import type { Queue } from './Job.js';

/** Jobs of a queue in a world, and how many of them were done within `withinMs`. */
function servedShare(world: ReplayWorld, queue: string, withinMs: number): number {
  const jobs = [...world.jobs.values()].filter((job) => job.queue === queue);
  const served = jobs.filter(
    (job) => job.state === 'completed' && job.endedAt - job.arrivedAt <= withinMs,
  );
  return served.length / jobs.length;
}

const seeds = [1, 2, 3, 4];
const lastsMs = 30_000;
const playMs = 44_000;
/** Objective of an urgent job of the replayed load: 1.5 times its longest duration, plus 250 ms. */
const urgentObjectiveMs = 5_100;

test('headroom: less work is thrown away at twice the load, and nobody is slower', (t) => {
  const plain = { ...defaultPolicy, headroomShare: 0 };
  const wasted = { without: 0, with: 0 };
  const urgent = { without: 0, with: 0 };
  seeds.forEach((seed) => {
    const load = generateLoad(seed, lastsMs, 2);
    const without = new ReplayWorld(6, 6, plain);
    without.play(playMs, load);
    const kept = new ReplayWorld(6, 6);
    kept.play(playMs, load);
    wasted.without += without.wastedCoreSeconds;
    wasted.with += kept.wastedCoreSeconds;
    urgent.without += servedShare(without, 'urgent', urgentObjectiveMs) / seeds.length;
    urgent.with += servedShare(kept, 'urgent', urgentObjectiveMs) / seeds.length;
  });
  t.true(wasted.with < wasted.without * 0.75, `${wasted.with} against ${wasted.without}`);
  t.true(urgent.with >= urgent.without - 0.02, `${urgent.with} against ${urgent.without}`);
});

test('twice the load: urgent jobs meet their objective, and no queue is left out', (t) => {
  seeds.forEach((seed) => {
    const world = new ReplayWorld(6, 6);
    world.play(playMs, generateLoad(seed, lastsMs, 2));
    t.true(servedShare(world, 'urgent', urgentObjectiveMs) > 0.85, `urgent, seed ${seed}`);
    t.true(servedShare(world, 'large', playMs) > 0.2, `large, seed ${seed}`);
    t.true(servedShare(world, 'batch', playMs) > 0.2, `batch, seed ${seed}`);
    t.is(world.refusedStarts, 0, 'no start without room');
  });
});

/** Share of the urgent jobs that end within their own objective, from a load in order of arrival. */
function urgentInTime(world: ReplayWorld, load: readonly Arrival[]): number {
  const jobs = [...world.jobs.values()];
  const { stretch, targetMs } = replayQueues.urgent as Queue;
  const inTime = load.map((arrival, index) => {
    const job = jobs[index];
    const tookMs = (job?.endedAt ?? Infinity) - (job?.arrivedAt ?? 0);
    return job?.state === 'completed' && tookMs <= stretch * arrival.durationMs + targetMs;
  });
  const urgent = inTime.filter((_, index) => load[index]?.queue === 'urgent');
  return urgent.filter(Boolean).length / urgent.length;
}

/** Mean share of urgent jobs in time under the grown load, on 64 runners of two speeds. */
function grownUrgentInTime(policy: DispatchPolicy): number {
  const variety = { slowEvery: 3, slowFactor: 1.3, unevenness: 0.15 };
  const shares = seeds.map((seed) => {
    const load = generateLoad(seed, lastsMs, grownFactor, grownLoad);
    load.sort((one, two) => one.at - two.at);
    const world = new ReplayWorld(8, 8, policy, variety);
    world.play(playMs, load);
    return urgentInTime(world, load);
  });
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

/** Load of 64 runners at 1.4 times what the users' sheet of 246 runners says. */
const grownFactor = 0.35;
/** The users call a smaller difference noise. */
const noise = 0.03;

test('runners of two speeds: urgent gangs get the fast ones, and more of them are in time', (t) => {
  const plain = grownUrgentInTime({ ...defaultPolicy, detectsSlowRunners: false });
  const learned = grownUrgentInTime(defaultPolicy);
  t.true(learned > plain + noise, `${learned} against ${plain}`);
});

test('stops that take a second: room kept after each of them brings more urgent jobs in time', (t) => {
  const plain = grownUrgentInTime({ ...defaultPolicy, headroomShare: 0 });
  const kept = grownUrgentInTime(defaultPolicy);
  t.true(kept > plain + noise, `${kept} against ${plain}`);
});

test('light load: nothing waits and nothing is thrown away', (t) => {
  const world = new ReplayWorld(6, 6);
  world.play(playMs, generateLoad(5, lastsMs, 0.3));
  t.true([...world.jobs.values()].every((job) => job.state === 'completed'));
  t.true([...world.jobs.values()].every((job) => job.startedAt - job.arrivedAt < 100));
  t.is(world.wastedCoreSeconds, 0);
});

test('the same load gives the same decisions', (t) => {
  const play = (): unknown[] => {
    const world = new ReplayWorld(4, 6);
    world.play(20_000, generateLoad(9, 15_000, 2));
    return world.decisions;
  };
  t.deepEqual(play(), play());
});
