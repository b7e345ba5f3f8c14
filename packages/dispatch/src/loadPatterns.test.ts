import type { JobArrival } from '@apricothoist/testing';
import {
  generateLoad,
  largeDeploymentLoad,
  replayQueues,
  ReplaySimulation,
} from '@apricothoist/testing';
import test from 'ava';

import type { DispatchPolicy } from './DispatchState.js';
import { maxLateFactor } from './Objective.js';
import { defaultPolicy } from './DispatchState.js';
import type { Queue } from './Job.js';

/** Share of the jobs of a queue that were completed within `withinMs`. */
function servedShare(simulation: ReplaySimulation, queue: string, withinMs: number): number {
  const jobs = [...simulation.jobs.values()].filter((job) => job.queue === queue);
  const served = jobs.filter(
    (job) => job.state === 'completed' && job.endedAt - job.arrivedAt <= withinMs,
  );
  return served.length / jobs.length;
}

const seeds = [1, 2, 3, 4];
const loadMs = 30_000;
const playMs = 44_000;
/** Objective of an urgent job of the replayed load: 1.5 times its longest duration, plus 250 ms. */
const urgentObjectiveMs = 5_100;

test('headroom at twice the load: less work is lost, and urgent jobs are not slower', (t) => {
  const baseline = { ...defaultPolicy, headroomShare: 0 };
  const lostWork = { without: 0, with: 0 };
  const urgent = { without: 0, with: 0 };
  seeds.forEach((seed) => {
    const load = generateLoad(seed, loadMs, 2);
    const withoutHeadroom = new ReplaySimulation(6, 6, baseline);
    withoutHeadroom.run(playMs, load);
    const withHeadroom = new ReplaySimulation(6, 6);
    withHeadroom.run(playMs, load);
    lostWork.without += withoutHeadroom.wastedCoreSeconds;
    lostWork.with += withHeadroom.wastedCoreSeconds;
    urgent.without += servedShare(withoutHeadroom, 'urgent', urgentObjectiveMs) / seeds.length;
    urgent.with += servedShare(withHeadroom, 'urgent', urgentObjectiveMs) / seeds.length;
  });
  t.true(lostWork.with < lostWork.without * 0.75, `${lostWork.with} against ${lostWork.without}`);
  t.true(urgent.with >= urgent.without - 0.02, `${urgent.with} against ${urgent.without}`);
});

test('twice the load: urgent jobs meet their objective, and no queue starves', (t) => {
  seeds.forEach((seed) => {
    const simulation = new ReplaySimulation(6, 6);
    simulation.run(playMs, generateLoad(seed, loadMs, 2));
    t.true(servedShare(simulation, 'urgent', urgentObjectiveMs) > 0.85, `urgent, seed ${seed}`);
    t.true(servedShare(simulation, 'large', playMs) > 0.2, `large, seed ${seed}`);
    t.true(servedShare(simulation, 'batch', playMs) > 0.2, `batch, seed ${seed}`);
    t.is(simulation.refusedStarts, 0, 'no start without free capacity');
  });
});

/** Share of the urgent jobs that meet their own objective; `load` is sorted by arrival. */
function urgentInTime(simulation: ReplaySimulation, load: readonly JobArrival[]): number {
  const jobs = [...simulation.jobs.values()];
  const { stretch, targetMs } = replayQueues.urgent as Queue;
  const inTime = load.map((arrival, index) => {
    const job = jobs[index];
    const tookMs = (job?.endedAt ?? Infinity) - (job?.arrivedAt ?? 0);
    return job?.state === 'completed' && tookMs <= stretch * arrival.durationMs + targetMs;
  });
  const urgent = inTime.filter((_, index) => load[index]?.queue === 'urgent');
  return urgent.filter(Boolean).length / urgent.length;
}

/**
 * Mean share of urgent jobs in time under the load of a large deployment, on 64 runners of two
 * speeds.
 */
function urgentInTimeAtScale(policy: DispatchPolicy): number {
  const variety = { slowEvery: 3, slowFactor: 1.3, unevenness: 0.15 };
  const shares = seeds.map((seed) => {
    const load = generateLoad(seed, loadMs, scaledLoadFactor, largeDeploymentLoad);
    load.sort((one, two) => one.at - two.at);
    const simulation = new ReplaySimulation(8, 8, policy, variety);
    simulation.run(playMs, load);
    return urgentInTime(simulation, load);
  });
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

/** Scales the load specified for 246 runners to 64 runners, at 1.4 times the specified load. */
const scaledLoadFactor = 0.35;
/** Smaller differences count as noise, by the service requirements. */
const noise = 0.03;

test('runners of two speeds: detecting slow runners brings more urgent gangs in time', (t) => {
  const baseline = urgentInTimeAtScale({ ...defaultPolicy, detectsSlowRunners: false });
  const detecting = urgentInTimeAtScale(defaultPolicy);
  t.true(detecting > baseline + noise, `${detecting} against ${baseline}`);
});

test('stops that take a second: headroom after preemptions brings more urgent jobs in time', (t) => {
  const baseline = urgentInTimeAtScale({ ...defaultPolicy, headroomShare: 0 });
  const withHeadroom = urgentInTimeAtScale(defaultPolicy);
  t.true(withHeadroom > baseline + noise, `${withHeadroom} against ${baseline}`);
});

test('light load: no job waits and no work is lost', (t) => {
  const simulation = new ReplaySimulation(6, 6);
  simulation.run(playMs, generateLoad(5, loadMs, 0.3));
  t.true([...simulation.jobs.values()].every((job) => job.state === 'completed'));
  t.true([...simulation.jobs.values()].every((job) => job.startedAt - job.arrivedAt < 100));
  t.is(simulation.wastedCoreSeconds, 0);
});

test('decisions are deterministic', (t) => {
  const play = (): unknown[] => {
    const simulation = new ReplaySimulation(4, 6);
    simulation.run(20_000, generateLoad(9, 15_000, 2));
    return simulation.decisions;
  };
  t.deepEqual(play(), play());
});

/** Tasks of one accelerator that arrive faster than the service can run them. */
function narrowOverload(accelerators: number, untilMs: number): JobArrival[] {
  const durationMs = 6_000;
  const tasks = 12;
  const factor = 1.5;
  const intervalMs = (tasks * durationMs) / (accelerators * factor);
  const arrivals: JobArrival[] = [];
  for (let at = 1_000; at < untilMs; at += intervalMs) {
    const steps = [{ count: tasks, declaredMs: durationMs }];
    // Tasks of unequal length free one accelerator at a time.
    arrivals.push({ at, queue: 'batch', steps, durationMs: durationMs * (1 + (at % 7) / 14) });
  }
  return arrivals;
}

const wideGang = { count: 11, isGang: true, prefersOneRack: true, declaredMs: 10_000 };
const wholeRunner = { cpu: 13_000, memoryMb: 53_000, accelerators: 8 };

// Gangs of 22 tasks waited for more than 60 s while narrow work of lower priority took each gap.
test('a gang of a whole rack ends before it loses its value while narrow work fills every gap', (t) => {
  const { stretch, targetMs } = replayQueues.large as Queue;
  const durationMs = 10_000;
  const arrivedAt = 8_000;
  const simulation = new ReplaySimulation(6, 12);
  const gang: JobArrival = {
    at: arrivedAt,
    queue: 'large',
    steps: [{ ...wideGang, size: wholeRunner }],
    durationMs,
  };
  simulation.run(110_000, [...narrowOverload(6 * 12 * 8, 110_000), gang]);
  const job = [...simulation.jobs.values()].find(({ queue }) => queue === 'large');
  const tookMs = (job?.endedAt || Infinity) - arrivedAt;
  t.true(tookMs <= maxLateFactor * (stretch * durationMs + targetMs), `took ${tookMs} ms`);
});
