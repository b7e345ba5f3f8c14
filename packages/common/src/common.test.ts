import test from 'ava';

import { delay } from './delay.js';
import { Disposables } from './Disposables.js';
import { Emitter } from './Emitter.js';
import { rendezvousOwner } from './Identifier.js';
import { LatencyHistogram } from './LatencyHistogram.js';
import { PeriodicTask } from './PeriodicTask.js';
import { Random } from './Random.js';
import { Secret } from './Secret.js';
import { StateChart } from './StateChart.js';

test('an emitter stops calling a disposed listener', (t) => {
  const emitter = new Emitter<number>();
  const received: number[] = [];
  const subscription = emitter.event((value) => received.push(value));
  emitter.fire(1);
  subscription.dispose();
  emitter.fire(2);
  t.deepEqual(received, [1]);
});

test('disposables are released in reverse order', async (t) => {
  const order: string[] = [];
  {
    await using owned = new Disposables();
    owned.defer(() => {
      order.push('first');
    });
    owned.defer(async () => {
      order.push('second');
    });
  }
  t.deepEqual(order, ['second', 'first']);
});

test('a periodic task never overlaps its runs and runs again when woken', async (t) => {
  let running = 0;
  let runs = 0;
  await using task = new PeriodicTask(
    async () => {
      running += 1;
      runs += 1;
      t.is(running, 1);
      await Promise.resolve();
      running -= 1;
    },
    () => 60_000,
    (error) => t.fail(String(error)),
  );
  task.start();
  task.wake();
  while (runs < 2) {
    await delay(1);
  }
  t.is(running, 0);
});

test('when a member leaves, only its own keys move', (t) => {
  const members = ['a', 'b', 'c', 'd'];
  const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`);
  const before = keys.map((key) => rendezvousOwner(key, members));
  const after = keys.map((key) => rendezvousOwner(key, members.slice(1)));
  keys.forEach((_, index) => {
    if (before[index] !== 'a') {
      t.is(after[index], before[index]);
    }
  });
  t.true(before.filter((owner) => owner === 'a').length > 20);
});

test('the same seed gives the same numbers', (t) => {
  const draw = (): number[] => {
    const random = new Random(7);
    return Array.from({ length: 20 }, () => random.below(100));
  };
  t.deepEqual(draw(), draw());
});

test('a secret matches only its own value and is redacted when printed', (t) => {
  const secret = new Secret('swordfish');
  t.true(secret.matches('swordfish'));
  t.false(secret.matches('swordfisH'));
  t.false(secret.matches(''));
  t.false(JSON.stringify({ secret }).includes('swordfish'));
  t.false(`${secret}`.includes('swordfish'));
});

test('a state chart follows its definition and ignores unlisted events', (t) => {
  const chart = new StateChart<'off' | 'on' | 'broken', 'press' | 'hit'>({
    id: 'lamp',
    initial: 'off',
    states: {
      off: { on: { press: 'on', hit: 'broken' } },
      on: { on: { press: 'off', hit: 'broken' } },
      broken: { type: 'final' },
    },
  });
  t.is(chart.next('off', 'press'), 'on');
  t.is(chart.next('broken', 'press'), 'broken');
  t.false(chart.accepts('broken', 'press'));
  t.true(chart.isFinal('broken'));
});

test('a histogram reports values in milliseconds', (t) => {
  const histogram = new LatencyHistogram();
  Array.from({ length: 100 }, (_, index) => histogram.record(index + 1));
  t.is(histogram.count, 100);
  t.true(Math.abs(histogram.percentile(50) - 50) < 0.5);
  t.true(Math.abs(histogram.max - 100) < 0.5);
});
