import test from 'ava';

import { runSeed } from './runSeed.js';

const size = { instances: 3, runners: 4, clients: 4, faultMs: 6_000 };

/** Seeds of the short run; those that ever failed stand here with a line on their cause. */
const seeds = [1, 2];

seeds.forEach((seed) => {
  test.serial(`seed ${seed} keeps every promise under faults`, async (t) => {
    const result = await runSeed({ seed, ...size });
    t.true(result.accepted > 0);
    t.deepEqual(result.broken, [], `${result.faults.join(' ')}\n${result.logs.slice(-4_000)}`);
  });
});
