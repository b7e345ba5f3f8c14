import type { Resources } from '@apricothoist/dispatch';
import type { DeploymentLoad, JobArrival } from '@apricothoist/testing';
import { criticalPathMs, plainDeployment } from '@apricothoist/testing';

type Step = JobArrival['steps'][number];

/** Speeds of the runners of each rack, fastest first. */
export function speedsByRack({ racks, runnersPerRack, variation }: DeploymentLoad): number[][] {
  const { speeds, slowEvery, slowFactor } = variation;
  return Array.from({ length: racks }, (_, rack) =>
    Array.from({ length: runnersPerRack }, (_unused, index) => {
      const number = rack * runnersPerRack + index;
      const isSlow = slowEvery > 0 && number % slowEvery === 0;
      return speeds?.[number % speeds.length] ?? (isSlow ? 1 / slowFactor : 1);
    }).sort((left, right) => right - left),
  );
}

function countFitting(size: Step['size'], capacity: Resources): number {
  const shares = (['cpu', 'memoryMb', 'accelerators'] as const).map(
    (resource) => capacity[resource] / (size?.[resource] ?? 0),
  );
  return Math.floor(Math.min(...shares));
}

/** Factor on the duration of a step whose tasks start together, if all runners were empty. */
function fastestFactor(step: Step, load: DeploymentLoad): number {
  const { capacity, farSlowdown } = { ...plainDeployment, ...load.deployment };
  const racks = speedsByRack(load);
  const count = step.isGang ? (step.count ?? 1) : 1;
  const runners = Math.ceil(count / Math.max(1, countFitting(step.size, capacity)));
  const slowestOf = (speeds: readonly number[]): number => speeds[runners - 1] ?? 0;
  const anywhere = slowestOf(racks.flat().sort((left, right) => right - left));
  const mayNeedOneRack = step.prefersOneRack === true && count > 1;
  const speed = mayNeedOneRack
    ? Math.max(...racks.map(slowestOf), anywhere / farSlowdown)
    : anywhere;
  return 1 / speed;
}

/**
 * Least milliseconds that the runs of a job take if it is alone in the deployment: on the fastest
 * runners that hold its tasks, within one rack if it fits there. Infinity if it does not fit at all.
 */
export function fastestRunMs(arrival: JobArrival, load: DeploymentLoad): number {
  const factors = arrival.steps.map((step) => fastestFactor(step, load));
  return criticalPathMs(arrival) * Math.min(...factors) * (1 - load.variation.unevenness);
}
