import test from 'ava';

import { RunnerSlowdown, StepDurations } from './RunnerPace.js';

test('a runner is slow after several samples, and not after an uneven one', (t) => {
  const pace = new RunnerSlowdown();
  pace.add(Math.log(1.3));
  t.false(pace.isSlow);
  pace.add(Math.log(1.3));
  pace.add(Math.log(1.3));
  t.true(pace.isSlow);
  for (let sample = 0; sample < 8; sample += 1) {
    pace.add(0);
  }
  t.false(pace.isSlow, 'a runner that was slow for a while is used again');
});

test('the first tasks of a step tell nothing, later ones are compared with their siblings', (t) => {
  const step = new StepDurations();
  t.is(step.compareProjected(2_000), undefined);
  t.is(step.compareProjected(2_000), undefined);
  t.is(Math.round(100 * (step.compareProjected(2_600) ?? 0)), 26);
});
