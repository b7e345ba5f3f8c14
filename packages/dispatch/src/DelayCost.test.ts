import test from 'ava';

import type { JobOutlook } from './DelayCost.js';
import { delayCost, expectedValueShare, inTimeProbability, lateValueShare } from './DelayCost.js';

/** An urgent job of 2.5 s that has just arrived; its slack is 1.5 s. */
const urgent: JobOutlook = {
  value: 1_000,
  waitedMs: 0,
  remainingMs: 2_500,
  objectiveMs: 4_000,
  targetMs: 250,
};
/** A wide job of 8 s; its slack is 17 s. */
const wide: JobOutlook = {
  value: 1_000,
  waitedMs: 0,
  remainingMs: 8_000,
  objectiveMs: 25_000,
  targetMs: 1_000,
};

test('the expected share falls from the whole value over that of a late result to nothing', (t) => {
  const shares = [0, 500, 1_500, 4_000, 30_000].map((ms) => expectedValueShare(urgent, ms));
  t.is(shares[0], 1);
  t.deepEqual(
    shares,
    [...shares].sort((left, right) => right - left),
  );
  t.true(Math.abs((shares[3] ?? 0) - lateValueShare) < 0.05, `${shares[3]}`);
  t.true((shares[4] ?? 1) < 0.01, `${shares[4]}`);
});

// A wide job took the place of urgent ones, or was stopped for them, as if it lost as much.
test('a second of delay costs work with little slack, and nothing that has much or none', (t) => {
  const costs = {
    urgent: delayCost(urgent, 1_000),
    wide: delayCost(wide, 1_000),
    hopeless: delayCost({ ...urgent, waitedMs: 60_000 }, 1_000),
  };
  t.true(costs.urgent > 50, `${costs.urgent}`);
  t.true(costs.wide < 1, `${costs.wide}`);
  t.true(costs.hopeless < 1, `${costs.hopeless}`);
});

// The objective grows with the true duration: an estimate that is too low does not use up slack.
test('slack scales with the work, and the fixed part of the objective is certain', (t) => {
  t.is(inTimeProbability(urgent, urgent.targetMs), 1);
  const half = { ...urgent, remainingMs: 1_250, objectiveMs: 2_125 };
  const waitMs = 600;
  const scaledWaitMs = (waitMs - urgent.targetMs) / 2 + urgent.targetMs;
  const difference = inTimeProbability(half, scaledWaitMs) - inTimeProbability(urgent, waitMs);
  t.true(Math.abs(difference) < 1e-9, `${difference}`);
});

test('a job that has no slack left in any case has no chance to be in time', (t) => {
  t.is(inTimeProbability({ ...urgent, remainingMs: 4_000 }, 1_000), 0);
});
