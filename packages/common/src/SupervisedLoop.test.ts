import { install } from '@sinonjs/fake-timers';
import test from 'ava';

import { delay } from './delay.js';
import { SupervisedLoop } from './SupervisedLoop.js';

test.serial('a step that throws does not end its loop, and is repeated ever later', async (t) => {
  const timers = install({ toFake: ['setTimeout', 'clearTimeout'] });
  t.teardown(() => timers.uninstall());
  const errors: string[] = [];
  let isFailing = true;
  let steps = 0;
  const loop = new SupervisedLoop('watch', async () => {
    steps += 1;
    await delay(10);
    if (isFailing) {
      throw new Error('odd entry');
    }
  });
  loop.start((error, name) => errors.push(`${name}: ${String(error)}`));
  await timers.tickAsync(10_000);
  t.true(errors.length >= 6 && errors.length <= 12, `${errors.length} errors`);
  t.is(errors[0], 'watch: Error: odd entry');
  isFailing = false;
  await timers.tickAsync(3_000);
  const before = steps;
  await timers.tickAsync(1_000);
  t.true(steps - before >= 90, 'the loop is as fast as before');
  loop[Symbol.dispose]();
  await timers.tickAsync(20);
  const last = steps;
  await timers.tickAsync(5_000);
  t.is(steps, last);
});
