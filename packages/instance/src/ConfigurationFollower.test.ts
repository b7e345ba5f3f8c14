import { Random } from '@apricothoist/common';
import { ManualClock } from '@apricothoist/testing';
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
    decode,
  );
  const applied = new Promise((resolve) => {
    follower.onApply(({ version }) => version === 2 && resolve(version));
  });
  follower.start();
  await applied;
  t.is(decoded, 2);
});
