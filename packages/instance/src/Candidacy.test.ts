import test from 'ava';

import { candidacyPauseMs, HandOver } from './Candidacy.js';

test('stronger instances take a free key first, equal ones do not wait', (t) => {
  t.is(candidacyPauseMs(0.675, 0.675), 0);
  t.is(candidacyPauseMs(0.675, 0), 0, 'nothing is known of others');
  t.true(candidacyPauseMs(0.324, 1.35) > 300);
});

test('a small instance hands over to a stronger one that has followed for a while', (t) => {
  const handOver = new HandOver(0.324);
  t.false(handOver.isDue(0.324, 0));
  t.false(handOver.isDue(1.35, 100));
  t.false(handOver.isDue(1.35, 2_000));
  t.true(handOver.isDue(1.35, 2_100));
});

test('a stronger instance that comes and goes changes nothing', (t) => {
  const handOver = new HandOver(0.324);
  handOver.isDue(1.35, 0);
  handOver.isDue(0.324, 1_500);
  t.false(handOver.isDue(1.35, 2_500));
  t.false(new HandOver(0.675).isDue(1, 9_000), 'hardly stronger');
});

test('an instance to which scheduling came back is slower to hand over again', (t) => {
  const handOver = new HandOver(0.324);
  handOver.isDue(1.35, 0);
  t.true(handOver.isDue(1.35, 2_000));
  handOver.isDue(1.35, 4_000);
  t.false(handOver.isDue(1.35, 8_000));
  t.true(handOver.isDue(1.35, 12_000));
});
