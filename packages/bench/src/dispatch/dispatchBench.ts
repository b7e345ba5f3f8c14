import { defaultPolicy } from '@apricothoist/dispatch';
import type { JobArrival } from '@apricothoist/testing';
import {
  generateLoad,
  largeDeploymentLoad,
  replayQueues,
  ReplaySimulation,
} from '@apricothoist/testing';

import { formatTable } from '../formatTable.js';

const rackCount = 31;
const runnersPerRack = 8;
/** Length in virtual milliseconds of the period in which jobs arrive. */
const arrivalPeriodMs = 34_000;
/** Length in virtual milliseconds of the replay. */
const replayMs = 64_000;
const seeds = [1, 2];
/**
 * Urgent jobs arrive at twice their rate for some seconds, as on the incident days of the service
 * requirements.
 */
const bursts = [{ queue: 'urgent', from: 8_000, until: 14_000, factor: 2 }];
/** One runner in three is slow and task durations vary, as the service requirements describe. */
const runnerVariation = { slowEvery: 3, slowFactor: 1.3, unevenness: 0.15 };
/** Milliseconds per second, and thousandths of a core per core. */
const milliPerUnit = 1_000;
const coresPerAccelerator = 8;
/**
 * Multiple of the latency objective up to which a late result still has value, by the service
 * requirements.
 */
const lateLimitFactor = 3;
/** Value of a job of mean size that ends in time or late, by the service requirements. */
const valueByQueue: Readonly<Record<string, readonly [inTime: number, late: number]>> = {
  urgent: [4, 0.8],
  large: [3, 0.9],
  batch: [1, 0.3],
};
/** Cost of a wasted core-second, by the service requirements. */
const wasteCostPerCoreSecond = 0.0014;

function coreSecondsOf(arrival: JobArrival): number {
  return arrival.steps.reduce((sum, { count = 1, size }) => {
    const cores = (size?.cpu ?? 0) / milliPerUnit + (size?.accelerators ?? 0) * coresPerAccelerator;
    return sum + (count * cores * arrival.durationMs) / milliPerUnit;
  }, 0);
}

function meanCoreSeconds(load: readonly JobArrival[], queue: string): number {
  const coreSeconds = load.filter((arrival) => arrival.queue === queue).map(coreSecondsOf);
  return coreSeconds.reduce((sum, work) => sum + work, 0) / Math.max(1, coreSeconds.length);
}

interface QueueValue {
  readonly earned: number;
  readonly attainable: number;
}

/** Value earned by the jobs of one queue, and the value if all of them had ended in time. */
function calculateQueueValue(
  simulation: ReplaySimulation,
  load: readonly JobArrival[],
  queue: string,
): QueueValue {
  const meanWork = meanCoreSeconds(load, queue);
  const [inTime, late] = valueByQueue[queue] ?? [1, 0];
  const { stretch, targetMs } = replayQueues[queue] ?? { stretch: 1, targetMs: 0 };
  const sorted = [...load].sort((left, right) => left.at - right.at);
  const jobs = [...simulation.jobs.values()];
  let earned = 0;
  let attainable = 0;
  sorted.forEach((arrival, index) => {
    const job = jobs[index];
    if (arrival.queue !== queue || job === undefined) {
      return;
    }
    const jobWeight = Math.min(4, 0.3 + (0.7 * coreSecondsOf(arrival)) / meanWork);
    const objectiveMs = stretch * arrival.durationMs + targetMs;
    const responseMs = job.endedAt - job.arrivedAt;
    attainable += jobWeight * inTime;
    if (job.state === 'completed' && responseMs <= objectiveMs) {
      earned += jobWeight * inTime;
    } else if (job.state === 'completed' && responseMs <= lateLimitFactor * objectiveMs) {
      earned += jobWeight * late;
    }
  });
  return { earned, attainable };
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0;
}

/**
 * Replays the load of a grown deployment and prints the value earned, the work wasted and the time of
 * the dispatch steps.
 */
export function runDispatchBench(print: (text: string) => void): void {
  const rows = [0.8, 1.4].map((factor) => {
    const sums = { earned: 0, attainable: 0, wasted: 0 };
    const byQueue: Record<string, QueueValue> = {};
    const steps: number[] = [];
    seeds.forEach((seed) => {
      const load = generateLoad(seed, arrivalPeriodMs, factor, largeDeploymentLoad, bursts);
      const simulation = new ReplaySimulation(
        rackCount,
        runnersPerRack,
        defaultPolicy,
        runnerVariation,
      );
      simulation.run(replayMs, load);
      Object.keys(valueByQueue).forEach((queue) => {
        const { earned, attainable } = calculateQueueValue(simulation, load, queue);
        const previous = byQueue[queue] ?? { earned: 0, attainable: 0 };
        byQueue[queue] = {
          earned: previous.earned + earned,
          attainable: previous.attainable + attainable,
        };
        sums.earned += earned;
        sums.attainable += attainable;
      });
      sums.wasted += simulation.wastedCoreSeconds;
      steps.push(...simulation.stepMs);
    });
    const queueShares = Object.values(byQueue).map(({ earned, attainable }) =>
      (earned / attainable).toFixed(3),
    );
    const waste = (sums.wasted * wasteCostPerCoreSecond) / sums.attainable;
    return [
      `${factor}x`,
      (sums.earned / sums.attainable).toFixed(3),
      ...queueShares,
      waste.toFixed(3),
      (sums.earned / sums.attainable - waste).toFixed(3),
      (steps.reduce((sum, ms) => sum + ms, 0) / steps.length).toFixed(2),
      percentile(steps, 0.99).toFixed(2),
    ];
  });
  print(
    formatTable(
      ['load', 'earned', 'urgent', 'large', 'batch', 'wasted', 'net', 'step ms', 'step p99 ms'],
      rows,
    ),
  );
}
