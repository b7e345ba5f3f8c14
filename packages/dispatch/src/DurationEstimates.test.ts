import { Random } from '@apricothoist/common';
import { plainStep } from '@apricothoist/testing';
import test from 'ava';

import { DurationEstimates } from './DurationEstimates.js';

/** Log-normal random factor with median 1. */
function factor(random: Random, deviation: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  return Math.exp(deviation * radius * Math.cos(2 * Math.PI * random.fraction()));
}

/** Mean absolute error in logarithms after a learning phase. */
function meanError(deviation: number, declaredError: number): number {
  const random = new Random(7);
  const estimates = new DurationEstimates();
  let sum = 0;
  const runs = 200;
  const learningRuns = 60;
  for (let run = 0; run < runs; run += 1) {
    const durationMs = 2_500 * factor(random, deviation);
    const step = { ...plainStep, declaredMs: durationMs * factor(random, declaredError) };
    if (run >= learningRuns) {
      sum += Math.abs(Math.log(estimates.estimate('queue', step) / durationMs));
    }
    estimates.record('queue', step, durationMs);
  }
  return sum / (runs - learningRuns);
}

test('accurate declarations are used, inaccurate ones are not', (t) => {
  // The mean absolute deviation of a normal variable is 0.8 of its standard deviation.
  t.true(meanError(0.3, 0.1) < 0.12, 'accurate declarations');
  t.true(meanError(0.3, 0.9) < 0.3, 'inaccurate declarations');
  t.true(
    meanError(0.5, 0.5) < 0.33,
    'declaration and mean equally accurate: combined better than either alone',
  );
});

test('before the first run the declared duration is used', (t) => {
  const estimates = new DurationEstimates();
  t.is(estimates.estimate('queue', { ...plainStep, declaredMs: 700 }), 700);
  t.is(estimates.typicalMs('queue'), 0);
  estimates.record('queue', { ...plainStep, declaredMs: 700 }, 1_400);
  t.is(Math.round(estimates.typicalMs('queue')), 1_400);
});
