import test from 'ava';

import { flagyardLoad, vaultLoad } from './deploymentLoads.js';
import { generateDeploymentLoad, loadBeginsAt } from './generateDeploymentLoad.js';

const loadMs = 60_000;

// A load without its bursts, stragglers or large account would not show what the deployments suffer from.
test('the loads have the bursts, stragglers, initial jobs and accounts of the deployments', (t) => {
  const arrivals = [1, 2, 3, 4].flatMap((seed) =>
    generateDeploymentLoad(flagyardLoad, seed, loadMs, 1),
  );
  const beginsAt = loadBeginsAt(flagyardLoad);
  const initial = arrivals.filter(({ at }) => at < beginsAt);
  t.is(initial.length, 4 * 36);
  t.true(initial.every(({ queue }) => queue !== 'urgent'));
  const urgentIn = (from: number, until: number): number =>
    arrivals.filter(
      ({ at, queue }) => queue === 'urgent' && at - beginsAt >= from && at - beginsAt < until,
    ).length;
  // The same part of two waves of 15 s, with and without the burst.
  const ratio = urgentIn(2_000, 8_000) / urgentIn(17_000, 23_000);
  t.true(ratio > 1.5 && ratio < 2.6, `${ratio}`);
  const factors = arrivals.flatMap(({ taskFactors = [] }) => taskFactors.flat());
  const stragglers = factors.filter((factor) => factor === 7).length / factors.length;
  t.true(stragglers > 0.02 && stragglers < 0.04, `${stragglers}`);
});

test('guarantees sum up to 0.62 of the service in proportion to the demand of the accounts', (t) => {
  const { accounts = [] } = vaultLoad.deployment;
  const sum = accounts.reduce((total, account) => total + account.guaranteedAccelerators, 0);
  t.true(Math.abs(sum / (31 * 8 * 8) - 0.62) < 0.01, `${sum}`);
  const arrivals = generateDeploymentLoad(vaultLoad, 1, loadMs, 4);
  const ofLargest = arrivals.filter(({ account }) => account === 'account-1').length;
  const share = (accounts[0]?.guaranteedAccelerators ?? 0) / sum;
  t.true(Math.abs(ofLargest / arrivals.length - share) < 0.05);
  t.true(share > 0.35, 'one account is far larger than the others');
});
