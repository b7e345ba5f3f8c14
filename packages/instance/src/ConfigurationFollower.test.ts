import { delay, Random } from '@apricothoist/common';
import { ManualClock } from '@apricothoist/testing';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import { ok } from 'neverthrow';

import { ConfigurationFollower } from './ConfigurationFollower.js';
import type { CoordinationStore } from './CoordinationStore.js';

const key = 'configuration';

test('a configuration that is read again unchanged is not decoded again', async (t) => {
  const clock = new ManualClock();
  let decoded = 0;
  let watches = 0;
  const store = {
    list: async () => ok({ items: [{ key, value: '1', revision: 3 }], revision: 9 }),
    watch: () => {
      watches += 1;
      const changes = { items: watches === 20 ? [{ key, value: '2', revision: 10 }] : [] };
      return watches <= 20 ? ok({ ...changes, revision: 9 }) : new Promise(() => {});
    },
  };
  const decode = (value: string) => {
    decoded += 1;
    const version = Number(value);
    return ok({ version, routes: [], accounts: [], accountByKey: new Map(), maxBodyBytes: 0 });
  };
  using follower = new ConfigurationFollower(
    store as unknown as CoordinationStore,
    clock,
    new Random(1),
    key,
    key,
    decode,
  );
  const applied = new Promise((resolve) => {
    follower.onApply(({ version }) => version === 2 && resolve(version));
  });
  follower.start((error) => t.fail(String(error)));
  await applied;
  t.is(decoded, 2);
});

/** Age in milliseconds from which an instance reports not ready. */
const maxReadyAgeMs = 2_400;
const latencyMs = 60;
/** Milliseconds that a large configuration takes to arrive over a slow link. */
const largeListMs = 2_000;

// Instances went out of rotation at each periodic read, and at times without one.
test.serial('an instance stays ready while it reads a large configuration again', async (t) => {
  const timers = install({ now: 10_000, toFake: ['setTimeout', 'clearTimeout'] });
  const clock = { monotonic: () => timers.now, wall: () => timers.now };
  let lists = 0;
  const store = {
    list: async () => {
      lists += 1;
      await delay(largeListMs);
      return ok({ items: [{ key, value: '1', revision: 3 }], revision: 9 });
    },
    watch: async (_prefix: string, revision: number, waitMs: number) => {
      await delay(waitMs + latencyMs);
      return ok({ items: [], revision });
    },
  };
  const decode = (value: string) =>
    ok({
      version: Number(value),
      routes: [],
      accounts: [],
      accountByKey: new Map(),
      maxBodyBytes: 0,
    });
  using follower = new ConfigurationFollower(
    store as unknown as CoordinationStore,
    clock,
    new Random(1),
    key,
    key,
    decode,
  );
  let oldestMs = 0;
  try {
    follower.start((error) => t.fail(String(error)));
    // The first read and the first watch.
    await timers.tickAsync(largeListMs + 1_200);
    for (let elapsedMs = 0; elapsedMs < 120_000; elapsedMs += 10) {
      await timers.tickAsync(10);
      oldestMs = Math.max(oldestMs, follower.ageMs);
    }
  } finally {
    timers.uninstall();
  }
  t.true(lists >= 5, `${lists} reads`);
  t.true(oldestMs < maxReadyAgeMs, `${oldestMs} ms`);
});
