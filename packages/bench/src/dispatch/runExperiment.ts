import type { JobArrival, ReplayedJob } from '@apricothoist/testing';
import {
  criticalPathMs,
  generateDeploymentLoad,
  loadBeginsAt,
  plainDeployment,
  preemptionReason,
  ReplaySimulation,
} from '@apricothoist/testing';

import type { CreditEntry } from './CreditLedger.js';
import { CreditLedger, lateLimitFactor } from './CreditLedger.js';
import type { ExperimentLoad } from './experimentLoads.js';
import type { ExperimentPolicy } from './experimentPolicies.js';
import { UsageLedger } from './UsageLedger.js';

/** Ledgers of the replay of one load with one seed and one policy. */
export interface ExperimentResult {
  readonly credit: CreditLedger;
  readonly usage: UsageLedger;
  /** Real milliseconds that each step of the dispatcher took. */
  readonly stepMs: readonly number[];
}

/** A job of a generated load and what its caller expects. */
export interface ExperimentJob {
  readonly arrival: JobArrival;
  readonly coreSeconds: number;
  readonly objectiveMs: number;
  readonly credit: readonly [inTime: number, late: number];
}

/** Milliseconds after the last arrival for which jobs may still end. */
const drainMs = 120_000;
const milliPerUnit = 1_000;
const coresPerAccelerator = 8;
const maxJobWeight = 4;
const baseJobWeight = 0.3;

/** Milliseconds of work of all tasks of each step, at speed 1. */
export function stepWorkMs({ steps, durationMs, taskFactors }: JobArrival): number[] {
  return steps.map(({ count = 1 }, index) => {
    const factors = taskFactors?.[index];
    return durationMs * (factors?.reduce((sum, factor) => sum + factor, 0) ?? count);
  });
}

function coreSecondsOf(arrival: JobArrival): number {
  const workMs = stepWorkMs(arrival);
  return arrival.steps.reduce((sum, { size }, index) => {
    const cores = (size?.cpu ?? 0) / milliPerUnit + (size?.accelerators ?? 0) * coresPerAccelerator;
    return sum + (cores * (workMs[index] ?? 0)) / milliPerUnit;
  }, 0);
}

/** Generates the jobs of a load, in order of arrival. */
export function generateJobs(
  { load, creditByQueue }: ExperimentLoad,
  seed: number,
  loadMs: number,
  factor: number,
): ExperimentJob[] {
  const arrivals = generateDeploymentLoad(load, seed, loadMs, factor);
  const queues = new Map(
    (load.deployment.queues ?? plainDeployment.queues).map((queue) => [queue.name, queue]),
  );
  const totals = new Map<string, { jobs: number; coreSeconds: number }>();
  arrivals.forEach((arrival) => {
    const { jobs, coreSeconds } = totals.get(arrival.queue) ?? { jobs: 0, coreSeconds: 0 };
    const total = { jobs: jobs + 1, coreSeconds: coreSeconds + coreSecondsOf(arrival) };
    totals.set(arrival.queue, total);
  });
  return arrivals.map((arrival) => {
    const { jobs, coreSeconds: total } = totals.get(arrival.queue) ?? { jobs: 1, coreSeconds: 1 };
    const coreSeconds = coreSecondsOf(arrival);
    const relativeSize = (coreSeconds * jobs) / total;
    const weight = Math.min(maxJobWeight, baseJobWeight + (1 - baseJobWeight) * relativeSize);
    const { stretch, targetMs } = queues.get(arrival.queue) ?? { stretch: 1, targetMs: 0 };
    const [inTime, late] = creditByQueue[arrival.queue] ?? [1, 0];
    return {
      arrival,
      coreSeconds,
      objectiveMs: stretch * criticalPathMs(arrival) + targetMs,
      credit: [weight * inTime, weight * late],
    };
  });
}

function createEntry(job: ExperimentJob, replayed: ReplayedJob, beginsAt: number): CreditEntry {
  const isCompleted = replayed.state === 'completed';
  return {
    queue: replayed.queue,
    account: replayed.account,
    arrivedAt: job.arrival.at - beginsAt,
    credit: job.credit,
    coreSeconds: job.coreSeconds,
    objectiveMs: job.objectiveMs,
    ...(isCompleted && { responseMs: replayed.endedAt - replayed.arrivedAt }),
    waitedMs: replayed.waitedMs,
    preemptions: replayed.preemptions,
    isRefused: replayed.isRefused,
    hasFailed: replayed.state === 'failed',
  };
}

/** Replays the jobs of a load under a policy. */
export function runExperiment(
  { load }: ExperimentLoad,
  { policy, adapt }: ExperimentPolicy,
  jobs: readonly ExperimentJob[],
  loadMs: number,
): ExperimentResult {
  const { racks, runnersPerRack, variation } = load;
  const deployment = adapt(load.deployment);
  const simulation = new ReplaySimulation(racks, runnersPerRack, policy, variation, deployment);
  const beginsAt = loadBeginsAt(load);
  const endsAt = beginsAt + loadMs;
  simulation.runToEnd(
    endsAt + drainMs,
    jobs.map(({ arrival }) => arrival),
  );
  const replayed = [...simulation.jobs.values()];
  const entries = jobs.map((job, index) =>
    createEntry(job, replayed[index] as ReplayedJob, beginsAt),
  );
  const worthless = new Set(
    entries.flatMap(({ responseMs = Infinity, objectiveMs }, index) =>
      responseMs > lateLimitFactor * objectiveMs ? [replayed[index]?.id] : [],
    ),
  );
  const runs = simulation.runLog.runs.map(
    ({ jobId, size, startedAt, endedAt, abort, end, ...run }) => ({
      accelerators: size.accelerators,
      ranMs: endedAt - startedAt,
      lostMs: run.lostMs,
      idleMs: run.idleMs,
      preemptedAfterMs:
        end === 'stopped' && abort?.reason === preemptionReason ? abort.at - startedAt : undefined,
      isWorthless: worthless.has(jobId),
    }),
  );
  const secondsOfLoad = [...simulation.usage.seconds]
    .filter(([second]) => second >= beginsAt / milliPerUnit && second < endsAt / milliPerUnit)
    .map(([, usage]) => usage);
  return {
    credit: new CreditLedger(entries),
    usage: new UsageLedger(runs, secondsOfLoad),
    stepMs: simulation.stepMs,
  };
}
