import { delay, Random } from '@apricothoist/common';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok } from 'neverthrow';

import type { CoordinationStore, StoredItems } from './CoordinationStore.js';
import { CoordinationError, CoordinationErrorKind } from './CoordinationStore.js';
import { PrefixFollower } from './PrefixFollower.js';

const callMs = 4;
/** Milliseconds for which a large value takes to arrive over a slow link. */
const largeListMs = 1_500;
const settings = { watchMs: 1_200, watchesPerRead: 8 };

type Answer = Awaited<ReturnType<CoordinationStore['watch']>>;

const failures: Record<string, Answer> = {
  unanswered: err(new CoordinationError(CoordinationErrorKind.unanswered, 'no response')),
  refused: err(new CoordinationError(CoordinationErrorKind.refused, 'busy')),
  compacted: err(new CoordinationError(CoordinationErrorKind.compacted, 'history is gone')),
};

interface Play {
  readonly lists: number;
  readonly oldestMs: number;
  readonly revisions: readonly number[];
}

/** Follows a large value for a minute; `failureOf` gives the failure of each watch, if any. */
async function follow(failureOf: (watch: number) => Answer | undefined): Promise<Play> {
  const timers = install({ now: 10_000, toFake: ['setTimeout', 'clearTimeout'] });
  const clock = { monotonic: () => timers.now, wall: () => timers.now };
  const revisions: number[] = [];
  let lists = 0;
  let watches = 0;
  const items: StoredItems = { items: [], revision: 7 };
  const store = {
    list: async () => {
      lists += 1;
      await delay(largeListMs);
      return ok(items);
    },
    watch: async (_prefix: string, after: number, waitMs: number, deadline: number) => {
      watches += 1;
      revisions.push(after);
      const failure = failureOf(watches);
      const isSilent = failure === failures.unanswered;
      await delay(failure === undefined ? waitMs + callMs : callMs);
      await delay(isSilent ? deadline - timers.now : 0);
      return failure ?? ok({ items: [], revision: after + 1 });
    },
  };
  const follower = new PrefixFollower(
    store as unknown as CoordinationStore,
    clock,
    new Random(1),
    'prefix/',
    settings,
  );
  let confirmedAt = timers.now;
  let oldestMs = 0;
  follower.onItems(({ requestedAt }) => {
    oldestMs = Math.max(oldestMs, timers.now - confirmedAt);
    confirmedAt = requestedAt;
  });
  try {
    follower.start(() => {});
    await timers.tickAsync(60_000);
  } finally {
    follower[Symbol.dispose]();
    timers.uninstall();
  }
  return { lists, oldestMs, revisions };
}

// A watch may hear nothing for a second before the history is dropped and the watch is cut.
Object.values(failures).forEach((failure) => {
  const kind = failure?.isErr() ? failure.error.kind : '';
  test.serial(`everything is read again after a watch that failed: ${kind}`, async (t) => {
    const { revisions } = await follow((watch) => (watch === 3 ? failure : undefined));
    t.deepEqual(revisions.slice(0, 5), [7, 8, 9, 7, 8]);
  });
});

// A read of seconds must not keep the follower from learning how old its items are.
test.serial('the watch goes on while everything is read again', async (t) => {
  const { lists, oldestMs } = await follow(() => undefined);
  t.true(lists > 3, `${lists} reads`);
  t.true(oldestMs < 2 * settings.watchMs + 2 * callMs + largeListMs, `${oldestMs} ms`);
});

test.serial('a failed read beside the watch is not reported as a failure', async (t) => {
  const timers = install({ now: 10_000, toFake: ['setTimeout', 'clearTimeout'] });
  const clock = { monotonic: () => timers.now, wall: () => timers.now };
  let lists = 0;
  const store = {
    list: async () => {
      lists += 1;
      await delay(callMs);
      return lists === 1 ? ok({ items: [], revision: 7 }) : failures.refused;
    },
    watch: async (_prefix: string, after: number, waitMs: number) => {
      await delay(waitMs + callMs);
      return ok({ items: [], revision: after });
    },
  };
  const follower = new PrefixFollower(
    store as unknown as CoordinationStore,
    clock,
    new Random(1),
    'prefix/',
    settings,
  );
  const errors: unknown[] = [];
  follower.onCallEnd((error) => errors.push(error));
  try {
    follower.start(() => {});
    await timers.tickAsync(30_000);
  } finally {
    follower[Symbol.dispose]();
    timers.uninstall();
  }
  t.true(lists > 2);
  t.deepEqual(
    errors.filter((error) => error !== undefined),
    [],
  );
});
