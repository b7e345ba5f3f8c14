import { Random } from '@apricothoist/common';

import type { JobClass, LoadBurst } from './generateLoad.js';
import { burstFactorAt, drawJob } from './generateLoad.js';
import type { JobArrival, ReplayDeployment } from './replaySettings.js';
import type { ReplayVariation } from './ReplaySimulation.js';

/** The load of a deployment and the runners it is meant for. */
export interface DeploymentLoad {
  readonly racks: number;
  readonly runnersPerRack: number;
  readonly variation: ReplayVariation;
  readonly deployment: ReplayDeployment;
  readonly jobClasses: readonly JobClass[];
  /** Deviations of the arrival rate, in time since the load begins. */
  readonly bursts: readonly LoadBurst[];
  /** Relative amplitude of the periodic change of the arrival rate. */
  readonly waveShare: number;
  readonly wavePeriodMs: number;
  /** Number of jobs that are submitted together before the load begins, and how long before. */
  readonly initialJobs: number;
  readonly leadMs: number;
  /** Queues of these jobs. */
  readonly initialQueues: readonly string[];
  /** Shares of the accounts in the jobs, by name. */
  readonly accountShares: ReadonlyMap<string, number>;
}

const msPerSecond = 1_000;
const firstArrivalAt = 1_000;

/** Virtual time at which the load begins, after the initial jobs. */
export function loadBeginsAt({ leadMs }: DeploymentLoad): number {
  return firstArrivalAt + leadMs;
}

function drawAccount(random: Random, shares: ReadonlyMap<string, number>): string {
  let rest = random.fraction();
  const found = [...shares].find(([, share]) => {
    rest -= share;
    return rest < 0;
  });
  return found?.[0] ?? [...shares.keys()].at(-1) ?? '';
}

/**
 * Generates the load of a whole deployment.
 *
 * @param loadMs period in which jobs arrive after the initial ones, in virtual milliseconds
 * @param factor multiple of the arrival rates; 1 is the load of the service requirements
 */
export function generateDeploymentLoad(
  load: DeploymentLoad,
  seed: number,
  loadMs: number,
  factor: number,
): JobArrival[] {
  const random = new Random(seed);
  const { jobClasses, bursts, waveShare, wavePeriodMs, accountShares } = load;
  const draw = (jobClass: JobClass, at: number): JobArrival => ({
    at,
    account: drawAccount(random, accountShares),
    ...drawJob(random, jobClass),
  });
  const initialClasses = jobClasses.filter(({ queue }) => load.initialQueues.includes(queue));
  const arrivals = Array.from({ length: load.initialJobs }, () =>
    draw(random.pick(initialClasses), firstArrivalAt),
  );
  jobClasses.forEach((jobClass) => {
    let elapsedMs = 0;
    for (;;) {
      const wave = 1 + waveShare * Math.sin((2 * Math.PI * elapsedMs) / wavePeriodMs);
      const rate =
        jobClass.jobsPerSecond * factor * wave * burstFactorAt(bursts, jobClass, elapsedMs);
      elapsedMs += random.exponential(msPerSecond / rate);
      if (elapsedMs > loadMs) {
        return;
      }
      arrivals.push(draw(jobClass, loadBeginsAt(load) + elapsedMs));
    }
  });
  return arrivals.sort((left, right) => left.at - right.at);
}
