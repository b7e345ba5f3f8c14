import test from 'ava';

import { electionDelayMs, LeadershipTransferPolicy } from './ElectionDelay.js';

test('instances with more cores take a free key first, equal ones do not wait', (t) => {
  t.is(electionDelayMs(0.675, 0.675), 0);
  t.is(electionDelayMs(0.675, 0), 0, 'cores of other instances unknown');
  t.true(electionDelayMs(0.324, 1.35) > 300);
});

test('a small instance transfers leadership to a stronger one that stays connected', (t) => {
  const policy = new LeadershipTransferPolicy(0.324);
  t.false(policy.isDue(0.324, 0));
  t.false(policy.isDue(1.35, 100));
  t.false(policy.isDue(1.35, 2_000));
  t.true(policy.isDue(1.35, 2_100));
});

test('a stronger instance that reconnects repeatedly causes no transfer', (t) => {
  const policy = new LeadershipTransferPolicy(0.324);
  policy.isDue(1.35, 0);
  policy.isDue(0.324, 1_500);
  t.false(policy.isDue(1.35, 2_500));
  t.false(new LeadershipTransferPolicy(0.675).isDue(1, 9_000), 'only slightly stronger');
});

test('the transfer delay grows when leadership returns to the same instance', (t) => {
  const policy = new LeadershipTransferPolicy(0.324);
  policy.isDue(1.35, 0);
  t.true(policy.isDue(1.35, 2_000));
  policy.isDue(1.35, 4_000);
  t.false(policy.isDue(1.35, 8_000));
  t.true(policy.isDue(1.35, 12_000));
});
