import { Random } from '@apricothoist/common';
import { VirtualCoordinationStore } from '@apricothoist/testing';
import type { Clock as InstalledClock } from '@sinonjs/fake-timers';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import { ok } from 'neverthrow';

import { Election } from './Election.js';
import { StoreKeys } from './keys.js';
import { leaseTimingFor } from './LeaseTiming.js';
import { PrefixFollower } from './PrefixFollower.js';
import { queue, VirtualDeployment } from './testing/VirtualDeployment.js';

async function play(body: (timers: InstalledClock) => Promise<void>): Promise<void> {
  const timers = install({ now: 10_000, toFake: ['setTimeout', 'clearTimeout'] });
  try {
    await body(timers);
  } finally {
    timers.uninstall();
  }
}

function clockOf(timers: InstalledClock): { monotonic: () => number; wall: () => number } {
  return { monotonic: () => timers.now, wall: () => timers.now };
}

function createElection(
  store: VirtualCoordinationStore,
  timers: InstalledClock,
  instance: string,
): Election {
  const self = { instance, feedAddress: '127.0.0.1:1' };
  return new Election(
    store,
    clockOf(timers),
    new Random(1),
    self,
    () => false,
    async () => ok(0),
    leaseTimingFor(200),
  );
}

// An instance whose election had thrown never became the scheduling instance.
test.serial('the election goes on after errors of its store and of a listener', async (t) => {
  await play(async (timers) => {
    const store = new VirtualCoordinationStore();
    store.put(StoreKeys.holder, '{"instance":"former","feedAddress":"127.0.0.1:2"}');
    const loops = new Set<string>();
    let reads = 0;
    const { read, watch } = store;
    store.read = async (key) => {
      reads += 1;
      if (reads === 1) {
        throw new TypeError('Invalid URL');
      }
      return read.call(store, key);
    };
    let watches = 0;
    store.watch = async (...parameters) => {
      watches += 1;
      if (watches === 1) {
        throw new TypeError('Invalid URL');
      }
      return watch.apply(store, parameters);
    };
    await using election = createElection(store, timers, 'odd');
    let found = 0;
    election.onHolderFound(() => {
      found += 1;
      if (found < 3) {
        throw new SyntaxError('Invalid URL');
      }
    });
    election.start((_error, loop) => loops.add(loop));
    await timers.tickAsync(5_000);
    t.deepEqual([...loops].sort(), ['election', 'watch of the holder']);
    const released = store.commit({ expect: [], writes: [], deletes: [StoreKeys.holder] });
    await timers.tickAsync(3_000);
    await released;
    t.not(election.token, undefined);
  });
});

test.serial('an instance that cannot begin its term leaves it to another', async (t) => {
  await play(async (timers) => {
    const store = new VirtualCoordinationStore();
    await using broken = createElection(store, timers, 'broken');
    broken.onTermStart(() => {
      throw new Error('no term');
    });
    broken.start(() => {});
    await timers.tickAsync(1_000);
    await using sound = createElection(store, timers, 'sound');
    sound.start((error) => t.fail(String(error)));
    await timers.tickAsync(4_000);
    t.not(sound.token, undefined);
  });
});

test.serial('items that a listener fails to take over are delivered again', async (t) => {
  await play(async (timers) => {
    const store = new VirtualCoordinationStore();
    store.put('prefix/a', 'odd');
    const settings = { watchMs: 1_000, watchesPerRead: 8 };
    const clock = clockOf(timers);
    using follower = new PrefixFollower(store, clock, new Random(1), 'prefix/', settings);
    const taken: string[] = [];
    let isFailing = true;
    follower.onItems(({ items }) => {
      if (isFailing) {
        throw new TypeError('odd item');
      }
      taken.push(...items.map(({ key }) => key));
    });
    const loops: string[] = [];
    follower.start((_error, loop) => loops.push(loop));
    await timers.tickAsync(5_000);
    t.is(loops[0], 'watch of prefix/');
    isFailing = false;
    await timers.tickAsync(3_000);
    t.deepEqual(taken, ['prefix/a']);
  });
});

test.serial('the advice loop goes on after an error of its client', async (t) => {
  let calls = 0;
  const advice = {
    advise: async ({ runners }: { runners: readonly { id: string }[] }) => {
      calls += 1;
      if (calls === 1) {
        throw new TypeError('Invalid URL');
      }
      return ok({ good: runners.map(({ id }) => [id, 'x'] as const), validityMs: 3_000 });
    },
  };
  const advised = { ...queue, advice: { decisionMs: 60, periodMs: 10, validityMs: 3_000 } };
  using deployment = new VirtualDeployment({ runners: 2, queue: advised, advice });
  deployment.submit('00000000000000aa', [{ count: 2 }]);
  deployment.takeOver();
  t.true(await deployment.runUntilCompleted(10_000));
});

/** Values that another writer may leave under the key of the holder, without a lease. */
const oddHolders = [
  'no JSON',
  'null',
  '5',
  '{}',
  '['.repeat(200_000),
  '{"instance":"other","feedAddress":"127.0.0.1:99999"}',
  '{"instance":"other","feedAddress":"999.1.1.1:80"}',
  '{"instance":"other","feedAddress":"a/b#c:80"}',
  '{"instance":["other"],"feedAddress":"127.0.0.1:1"}',
];

// Such a record ended the election of each instance, or was waited for without end.
test.serial('a holder record that no instance has written is replaced', async (t) => {
  for (const value of oddHolders) {
    await play(async (timers) => {
      const store = new VirtualCoordinationStore();
      const revision = store.put(StoreKeys.holder, value);
      await using election = createElection(store, timers, 'sound');
      const reported = new Set<number>();
      election.onUnreadable((record) => reported.add(record.revision));
      election.onHolderFound(({ feedAddress }) => t.fail(feedAddress));
      election.start((error) => t.fail(String(error)));
      await timers.tickAsync(3_000);
      t.true((election.token ?? 0) > revision, value.slice(0, 60));
      t.deepEqual([...reported], [revision]);
    });
  }
});
