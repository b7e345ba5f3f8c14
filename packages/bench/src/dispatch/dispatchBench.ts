import { defaultPolicy } from '@apricothoist/dispatch';
import type { Arrival } from '@apricothoist/testing';
import { generateLoad, grownLoad, replayQueues, ReplayWorld } from '@apricothoist/testing';

import { formatTable } from '../formatTable.js';

const racks = 31;
const runnersPerRack = 8;
const lastsMs = 34_000;
const playMs = 64_000;
const seeds = [1, 2];
/** Urgent jobs come at twice their rate for some seconds, as on the users' days with trouble. */
const bursts = [{ queue: 'urgent', from: 8_000, until: 14_000, factor: 2 }];
/** One runner in three is slow, and tasks differ, as on the users' sheets. */
const variety = { slowEvery: 3, slowFactor: 1.3, unevenness: 0.15 };
const msPerSecond = 1_000;
const coresPerAccelerator = 8;
/** Multiple of the objective up to which a late answer still counts, as the users weigh it. */
const lateLimit = 3;
/** What a job of mean size is worth in time, and late, as the users' sheets say. */
const worthByQueue: Readonly<Record<string, readonly [inTime: number, late: number]>> = {
  urgent: [4, 0.8],
  large: [3, 0.9],
  batch: [1, 0.3],
};
/** Worth of a core-second thrown away, as the users price it. */
const wastePrice = 0.0014;

function workOf(arrival: Arrival): number {
  return arrival.steps.reduce((sum, { count = 1, size }) => {
    const cores = (size?.cpu ?? 0) / msPerSecond + (size?.accelerators ?? 0) * coresPerAccelerator;
    return sum + (count * cores * arrival.durationMs) / msPerSecond;
  }, 0);
}

function meanWork(load: readonly Arrival[], queue: string): number {
  const works = load.filter((arrival) => arrival.queue === queue).map(workOf);
  return works.reduce((sum, work) => sum + work, 0) / Math.max(1, works.length);
}

interface Outcome {
  readonly earned: number;
  readonly owed: number;
}

/** Worth earned and owed of one queue, as the users count it. */
function weigh(world: ReplayWorld, load: readonly Arrival[], queue: string): Outcome {
  const mean = meanWork(load, queue);
  const [inTime, late] = worthByQueue[queue] ?? [1, 0];
  const { stretch, targetMs } = replayQueues[queue] ?? { stretch: 1, targetMs: 0 };
  const sorted = [...load].sort((left, right) => left.at - right.at);
  const jobs = [...world.jobs.values()];
  let earned = 0;
  let owed = 0;
  sorted.forEach((arrival, index) => {
    const job = jobs[index];
    if (arrival.queue !== queue || job === undefined) {
      return;
    }
    const weight = Math.min(4, 0.3 + (0.7 * workOf(arrival)) / mean);
    const objectiveMs = stretch * arrival.durationMs + targetMs;
    const tookMs = job.endedAt - job.arrivedAt;
    owed += weight * inTime;
    if (job.state === 'completed' && tookMs <= objectiveMs) {
      earned += weight * inTime;
    } else if (job.state === 'completed' && tookMs <= lateLimit * objectiveMs) {
      earned += weight * late;
    }
  });
  return { earned, owed };
}

function share(values: readonly number[], part: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * part)] ?? 0;
}

/** Replays the load of a grown deployment and prints what was earned, thrown away and computed. */
export function runDispatchBench(print: (text: string) => void): void {
  const rows = [0.8, 1.4].map((factor) => {
    const sums = { earned: 0, owed: 0, wasted: 0 };
    const byQueue: Record<string, Outcome> = {};
    const steps: number[] = [];
    seeds.forEach((seed) => {
      const load = generateLoad(seed, lastsMs, factor, grownLoad, bursts);
      const world = new ReplayWorld(racks, runnersPerRack, defaultPolicy, variety);
      world.play(playMs, load);
      Object.keys(worthByQueue).forEach((queue) => {
        const { earned, owed } = weigh(world, load, queue);
        const former = byQueue[queue] ?? { earned: 0, owed: 0 };
        byQueue[queue] = { earned: former.earned + earned, owed: former.owed + owed };
        sums.earned += earned;
        sums.owed += owed;
      });
      sums.wasted += world.wastedCoreSeconds;
      steps.push(...world.stepMs);
    });
    const queueShares = Object.values(byQueue).map(({ earned, owed }) =>
      (earned / owed).toFixed(3),
    );
    const waste = (sums.wasted * wastePrice) / sums.owed;
    return [
      `${factor}x`,
      (sums.earned / sums.owed).toFixed(3),
      ...queueShares,
      waste.toFixed(3),
      (sums.earned / sums.owed - waste).toFixed(3),
      (steps.reduce((sum, ms) => sum + ms, 0) / steps.length).toFixed(2),
      share(steps, 0.99).toFixed(2),
    ];
  });
  print(
    formatTable(
      ['load', 'earned', 'urgent', 'large', 'batch', 'wasted', 'net', 'step ms', 'step p99 ms'],
      rows,
    ),
  );
}
