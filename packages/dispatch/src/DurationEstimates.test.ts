import { Random } from '@apricothoist/common';
import { plainStep } from '@apricothoist/testing';
import test from 'ava';

import { DurationEstimates } from './DurationEstimates.js';

/** Log-normal factor around one. */
function factor(random: Random, spread: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  return Math.exp(spread * radius * Math.cos(2 * Math.PI * random.fraction()));
}

/** Mean error in logarithms over the last of many runs. */
function meanError(spread: number, declaredError: number): number {
  const random = new Random(7);
  const estimates = new DurationEstimates();
  let sum = 0;
  const runs = 200;
  const learning = 60;
  for (let run = 0; run < runs; run += 1) {
    const durationMs = 2_500 * factor(random, spread);
    const step = { ...plainStep, declaredMs: durationMs * factor(random, declaredError) };
    if (run >= learning) {
      sum += Math.abs(Math.log(estimates.estimate('queue', step) / durationMs));
    }
    estimates.record('queue', step, durationMs);
  }
  return sum / (runs - learning);
}

test('declarations that are good are believed, and others are not', (t) => {
  // Mean absolute error of a normal variable is 0.8 of its spread.
  t.true(meanError(0.3, 0.1) < 0.12, 'good declarations');
  t.true(meanError(0.3, 0.9) < 0.3, 'useless declarations');
  t.true(meanError(0.5, 0.5) < 0.33, 'both about as good: better than either alone');
});

test('before the first run the declaration counts', (t) => {
  const estimates = new DurationEstimates();
  t.is(estimates.estimate('queue', { ...plainStep, declaredMs: 700 }), 700);
  t.is(estimates.learned('queue'), 0);
  estimates.record('queue', { ...plainStep, declaredMs: 700 }, 1_400);
  t.is(Math.round(estimates.learned('queue')), 1_400);
});
