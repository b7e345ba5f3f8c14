import type { Resources } from '@apricothoist/dispatch';
import { plainDeployment } from '@apricothoist/testing';

import { lateLimitFactor } from './CreditLedger.js';
import type { ExperimentLoad } from './experimentLoads.js';
import { fastestRunMs, speedsByRack } from './fastestRunMs.js';
import type { FluidWork } from './FluidBound.js';
import { FluidBound } from './FluidBound.js';
import type { ExperimentJob } from './runExperiment.js';
import { stepWorkMs } from './runExperiment.js';

const resources = ['cpu', 'memoryMb', 'accelerators'] as const satisfies (keyof Resources)[];
/** Milliseconds after the last arrival for which capacity is limited. */
const horizonMs = 60_000;

function amountOf({ arrival }: ExperimentJob, resource: keyof Resources): number {
  const workMs = stepWorkMs(arrival);
  return arrival.steps.reduce(
    (sum, { size }, index) => sum + (size?.[resource] ?? 0) * (workMs[index] ?? 0),
    0,
  );
}

/** Credit of each job in the fluid schedule that is bound by one resource. */
function boundBy(
  resource: keyof Resources,
  experiment: ExperimentLoad,
  jobs: readonly ExperimentJob[],
): number[] {
  const capacity = experiment.load.deployment.capacity ?? plainDeployment.capacity;
  const speeds = speedsByRack(experiment.load).flat();
  const rate = capacity[resource] * speeds.reduce((sum, speed) => sum + speed, 0);
  const horizon = Math.max(0, ...jobs.map(({ arrival }) => arrival.at)) + horizonMs;
  const runMs = jobs.map(({ arrival }) => fastestRunMs(arrival, experiment.load));
  const maximize = (limitFactor: number, valueOf: (job: ExperimentJob) => number): number[] => {
    const works = jobs.map((job, index): FluidWork => {
      const limitMs = limitFactor * job.objectiveMs;
      return {
        releasedAt: job.arrival.at,
        deadline: job.arrival.at + limitMs,
        amount: amountOf(job, resource),
        value: (runMs[index] as number) <= limitMs ? valueOf(job) : 0,
      };
    });
    const shares = new FluidBound(rate, horizon).maximize(works);
    return works.map((work) => work.value * (shares.get(work) ?? 0));
  };
  const inTime = maximize(1, ({ credit }) => credit[0] - credit[1]);
  const late = maximize(lateLimitFactor, ({ credit }) => credit[1]);
  return jobs.map((_job, index) => (inTime[index] ?? 0) + (late[index] ?? 0));
}

/**
 * Upper bound of the total credit for any policy that knows all durations, as the credit of each job
 * in a schedule that attains the bound; that of a single job or queue is no bound of its own.
 *
 * Credit in time is that of a late job plus the rest. `FluidBound` bounds the sum of each of the two
 * as if the other one used no capacity, and each resource of the runners as if the others were
 * unlimited; the scarcest resource counts. A job earns nothing where it would be too late even if it
 * were alone, see `fastestRunMs`.
 */
export function boundCredit(experiment: ExperimentLoad, jobs: readonly ExperimentJob[]): number[] {
  const total = (credits: readonly number[]): number =>
    credits.reduce((sum, credit) => sum + credit, 0);
  const bounds = resources.map((resource) => boundBy(resource, experiment, jobs));
  return bounds.reduce((least, next) => (total(next) < total(least) ? next : least));
}
