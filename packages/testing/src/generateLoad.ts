import { Random } from '@apricothoist/common';

import type { JobArrival } from './replaySettings.js';

const msPerSecond = 1_000;

/** A class of jobs of the service requirements. */
export interface JobClass {
  readonly queue: string;
  readonly jobsPerSecond: number;
  /** Mean number of tasks of a job. */
  readonly meanTasks: number;
  /** Thousandths of a core for each task. */
  readonly cpu: number;
  readonly memoryMb: number;
  /** Possible numbers of accelerators of a task, all equally likely. */
  readonly accelerators: readonly number[];
  /** Mean duration of a task in milliseconds. */
  readonly meanDurationMs: number;
  readonly isGang: boolean;
  /** Share of the jobs whose gang prefers to run in one rack. */
  readonly oneRackShare: number;
  /** Share of the jobs that save their progress. */
  readonly checkpointShare: number;
  /**
   * Standard deviation of the logarithm of the number of tasks. If absent, numbers of tasks and
   * durations are uniformly distributed.
   */
  readonly taskCountSigma?: number;
  /** The same of the duration, where that of the number of tasks is given. */
  readonly durationSigma?: number;
  /** Mean number of steps, each as wide as the first; at most 2. */
  readonly meanSteps?: number;
  /** Share of the task groups that take `stragglerFactor` times as long. */
  readonly stragglerShare?: number;
}

/** Load of about thirty runners, from the service requirements. */
export const smallDeploymentLoad: readonly JobClass[] = [
  {
    queue: 'urgent',
    jobsPerSecond: 1.67,
    meanTasks: 3,
    cpu: 3_700,
    memoryMb: 15_000,
    accelerators: [1, 2, 4, 8, 8],
    meanDurationMs: 2_500,
    isGang: true,
    oneRackShare: 1,
    checkpointShare: 0,
  },
  {
    queue: 'large',
    jobsPerSecond: 0.44,
    meanTasks: 5,
    cpu: 13_000,
    memoryMb: 53_000,
    accelerators: [1, 2, 4, 8, 8],
    meanDurationMs: 8_500,
    isGang: true,
    oneRackShare: 0,
    checkpointShare: 0.45,
  },
  {
    queue: 'batch',
    jobsPerSecond: 0.33,
    meanTasks: 16,
    cpu: 2_800,
    memoryMb: 15_000,
    accelerators: [1],
    meanDurationMs: 9_500,
    isGang: false,
    oneRackShare: 0,
    checkpointShare: 0.45,
  },
];

/** Increased arrival rate of one queue during a period, in virtual milliseconds. */
export interface LoadBurst {
  readonly queue: string;
  readonly from: number;
  readonly until: number;
  /** Multiple of the normal arrival rate. */
  readonly factor: number;
}

/** Load of a large deployment of about 250 runners, from the service requirements. */
export const largeDeploymentLoad: readonly JobClass[] = [
  {
    ...(smallDeploymentLoad[0] as JobClass),
    jobsPerSecond: 7.69,
    meanTasks: 5.4,
    oneRackShare: 0.8,
    taskCountSigma: 0.8,
  },
  {
    ...(smallDeploymentLoad[1] as JobClass),
    jobsPerSecond: 1.45,
    meanTasks: 13,
    oneRackShare: 0.6,
    taskCountSigma: 0.8,
  },
  {
    ...(smallDeploymentLoad[2] as JobClass),
    jobsPerSecond: 1.14,
    meanTasks: 39,
    taskCountSigma: 0.8,
  },
];

/** Standard deviation of the logarithm of durations, from the service requirements. */
const defaultDurationSigma = 0.35;
/** Maxima of the number of tasks and the duration relative to the mean, from the requirements. */
const maxTasksFactor = 6;
const maxDurationFactor = 1.4;
/** Factor by which a straggler takes longer, from the service requirements. */
const stragglerFactor = 7;

/**
 * Draws from a log-normal distribution with the given mean, so that a few jobs have many times the
 * tasks of most.
 */
function drawLogNormal(random: Random, mean: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const normal = radius * Math.cos(2 * Math.PI * random.fraction());
  return mean * Math.exp(sigma * normal - sigma ** 2 / 2);
}

/**
 * Generates the load of the service requirements: urgent gangs that last seconds and take whole
 * runners of one rack, besides large gangs and batch jobs with many tasks.
 *
 * @param arrivalPeriodMs period in which jobs arrive, in virtual milliseconds
 * @param factor multiple of the required load; 1 is the load of the service requirements
 */
export function generateLoad(
  seed: number,
  arrivalPeriodMs: number,
  factor: number,
  jobClasses: readonly JobClass[] = smallDeploymentLoad,
  bursts: readonly LoadBurst[] = [],
): JobArrival[] {
  const random = new Random(seed);
  const arrivals: JobArrival[] = [];
  jobClasses.forEach((jobClass) => {
    let at = msPerSecond;
    for (;;) {
      at += random.exponential(
        msPerSecond / (jobClass.jobsPerSecond * factor * burstFactorAt(bursts, jobClass, at)),
      );
      if (at > arrivalPeriodMs) {
        return;
      }
      arrivals.push({ at, ...drawJob(random, jobClass) });
    }
  });
  return arrivals;
}

/** Draws the steps and durations of a job. */
export function drawJob(random: Random, jobClass: JobClass): Omit<JobArrival, 'at'> {
  const step = {
    count: Math.max(1, Math.round(drawTaskCount(random, jobClass))),
    size: {
      cpu: jobClass.cpu,
      memoryMb: jobClass.memoryMb,
      accelerators: random.pick(jobClass.accelerators),
    },
    declaredMs: jobClass.meanDurationMs * (0.2 + 3 * random.fraction()),
    isGang: jobClass.isGang,
    prefersOneRack: random.fraction() < jobClass.oneRackShare,
    savesProgress: random.fraction() < jobClass.checkpointShare,
  };
  const durationMs = drawDuration(random, jobClass);
  const { queue, meanSteps = 1, stragglerShare = 0 } = jobClass;
  const hasSecond = meanSteps > 1 && random.fraction() < meanSteps - 1;
  const steps = hasSecond ? [step, { ...step, after: [0] }] : [step];
  if (stragglerShare === 0) {
    return { queue, steps, durationMs };
  }
  const drawFactor = (): number => (random.fraction() < stragglerShare ? stragglerFactor : 1);
  const taskFactors = steps.map(({ count, isGang }) => {
    // The tasks of a gang end together.
    const gangFactor = drawFactor();
    return Array.from({ length: count }, () => (isGang ? gangFactor : drawFactor()));
  });
  return { queue, steps, durationMs, taskFactors };
}

export function burstFactorAt(
  bursts: readonly LoadBurst[],
  jobClass: JobClass,
  at: number,
): number {
  const burst = bursts.find(
    ({ queue, from, until }) => queue === jobClass.queue && from <= at && at < until,
  );
  return burst?.factor ?? 1;
}

function drawTaskCount(random: Random, { meanTasks, taskCountSigma }: JobClass): number {
  return taskCountSigma === undefined
    ? random.jitter(meanTasks, 0.8)
    : Math.min(meanTasks * maxTasksFactor, drawLogNormal(random, meanTasks, taskCountSigma));
}

function drawDuration(
  random: Random,
  { meanDurationMs, taskCountSigma, durationSigma = defaultDurationSigma }: JobClass,
): number {
  return taskCountSigma === undefined
    ? random.jitter(meanDurationMs, 0.3)
    : Math.min(
        meanDurationMs * maxDurationFactor,
        drawLogNormal(random, meanDurationMs, durationSigma),
      );
}
