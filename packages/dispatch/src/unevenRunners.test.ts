import type { JobArrival, ReplayVariation } from '@apricothoist/testing';
import {
  generateLoad,
  largeDeploymentLoad,
  replayQueues,
  ReplaySimulation,
} from '@apricothoist/testing';
import test from 'ava';

import { defaultPolicy } from './DispatchState.js';
import type { Queue } from './Job.js';

const racks = 5;
const runnersPerRack = 12;
const loadMs = 30_000;
const playMs = 46_000;
/** Scales the load specified for 246 runners to 60, at 1.25 times the specified load. */
const loadFactor = 0.3;
/** Least shares of gangs in time at this load, while speeds are still being learned. */
const urgentTarget = 2 / 3;
const wideTarget = 0.45;

function createLoad(seed: number): JobArrival[] {
  const load = generateLoad(seed, loadMs, loadFactor, largeDeploymentLoad);
  return load.sort((left, right) => left.at - right.at);
}

/** Share of the jobs of a queue that met their objective on a runner of speed 1. */
function inTimeShare(
  simulation: ReplaySimulation,
  load: readonly JobArrival[],
  queueName: string,
): number {
  const { stretch, targetMs } = replayQueues[queueName] as Queue;
  const jobs = [...simulation.jobs.values()];
  const inTime = load
    .map((arrival, index) => ({ arrival, job: jobs[index] }))
    .filter(({ arrival }) => arrival.queue === queueName)
    .map(({ arrival, job }) => {
      const tookMs = (job?.endedAt || Infinity) - arrival.at;
      return job?.state === 'completed' && tookMs <= stretch * arrival.durationMs + targetMs;
    });
  return inTime.filter(Boolean).length / inTime.length;
}

// The former code only knew slow runners, saw no slow runner in a step that ran on slow ones alone,
// and gave urgent gangs the fullest rack in spite of one slow runner.
test('a quarter of the runners at 0.55, the others at 1.2: urgent gangs end in time', (t) => {
  const variation: ReplayVariation = {
    slowEvery: 4,
    slowFactor: 1 / 0.55,
    normalFactor: 1 / 1.2,
    unevenness: 0.3,
  };
  const seeds = [1, 2, 3, 4, 5, 6];
  const shares = { urgent: 0, large: 0, batch: 0 };
  seeds.forEach((seed) => {
    const load = createLoad(seed);
    const simulation = new ReplaySimulation(racks, runnersPerRack, defaultPolicy, variation);
    simulation.run(playMs, load);
    (['urgent', 'large', 'batch'] as const).forEach((queue) => {
      shares[queue] += inTimeShare(simulation, load, queue) / seeds.length;
    });
    const { levels } = simulation.dispatcher.state.speedClasses;
    t.true((levels[0] ?? 1) < 0.75, `slowest class ${levels[0]}, seed ${seed}`);
  });
  t.true(shares.urgent > urgentTarget, `urgent ${shares.urgent}`);
  t.true(shares.large > wideTarget, `large ${shares.large}`);
});

// Learned differences by chance must not change placements.
test('all runners alike: decisions are those without learned speeds', (t) => {
  const variation: ReplayVariation = {
    slowEvery: 0,
    slowFactor: 1,
    unevenness: 0.3,
    stragglerShare: 0.03,
    stragglerFactor: 7,
  };
  const seed = 1;
  const play = (learnsSpeeds: boolean): unknown[] => {
    const policy = { ...defaultPolicy, detectsSlowRunners: learnsSpeeds };
    const simulation = new ReplaySimulation(racks, runnersPerRack, policy, variation);
    simulation.run(20_000, createLoad(seed));
    return simulation.decisions;
  };
  t.deepEqual(play(true), play(false));
});
