import type { DeploymentLoad, JobArrival } from '@apricothoist/testing';
import { flagyardLoad } from '@apricothoist/testing';
import test from 'ava';

import { fastestRunMs } from './fastestRunMs.js';

/** Two racks of three runners: two at speed 2, one at 0.5. */
const load: DeploymentLoad = {
  ...flagyardLoad,
  racks: 2,
  runnersPerRack: 3,
  variation: { slowEvery: 0, slowFactor: 1, unevenness: 0, speeds: [0.5, 2, 2] },
};
const size = { cpu: 26_000, memoryMb: 38_000, accelerators: 8 };

function gang(count: number, prefersOneRack: boolean): JobArrival {
  const steps = [{ count, size, isGang: true, prefersOneRack }];
  return { at: 0, queue: 'wide', steps, durationMs: 1_000 };
}

// Without the racks the bound promised credit that a gang wider than a rack cannot earn.
test('a gang is as fast as the slowest of the runners that it needs, within its rack', (t) => {
  t.is(fastestRunMs(gang(2, true), load), 500);
  t.is(fastestRunMs(gang(4, false), load), 500, 'the fast runners of both racks');
  t.is(fastestRunMs(gang(4, true), load), 1_500, 'three times as long on two racks');
  t.is(fastestRunMs(gang(3, true), load), 1_500, 'rather two racks than a very slow runner');
  t.is(fastestRunMs(gang(7, false), load), Infinity, 'wider than the deployment');
});

test('single tasks do not have to run at the same time', (t) => {
  const { steps, ...job } = gang(50, false);
  const batch = { ...job, steps: steps.map((step) => ({ ...step, isGang: false })) };
  t.is(fastestRunMs(batch, load), 500);
});
