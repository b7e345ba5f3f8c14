import test from 'ava';

import { RunnerSlowdown, StepDurations } from './RunnerSlowdown.js';

test('a runner counts as slow after several samples, not after a single one', (t) => {
  const slowdown = new RunnerSlowdown();
  slowdown.add(Math.log(1.3));
  t.false(slowdown.isSlow);
  slowdown.add(Math.log(1.3));
  slowdown.add(Math.log(1.3));
  t.true(slowdown.isSlow);
  for (let sample = 0; sample < 8; sample += 1) {
    slowdown.add(0);
  }
  t.false(slowdown.isSlow, 'a runner that has recovered no longer counts as slow');
});

test('the first tasks of a step give no result, later ones are compared with the mean', (t) => {
  const step = new StepDurations();
  t.is(step.compareProjected(2_000), undefined);
  t.is(step.compareProjected(2_000), undefined);
  t.is(Math.round(100 * (step.compareProjected(2_600) ?? 0)), 26);
});
