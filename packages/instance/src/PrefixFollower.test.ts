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
/** Age in milliseconds from which requests with an API key are refused. */
const maxAgeMs = 4_200;

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

test.serial('refused watches do not cost a read of everything', async (t) => {
  const { lists, oldestMs } = await follow((watch) =>
    watch % 5 < 3 ? failures.refused : undefined,
  );
  t.true(oldestMs < maxAgeMs, `${oldestMs} ms`);
  t.true(lists <= 60_000 / (settings.watchMs * settings.watchesPerRead), `${lists} reads`);
});

test.serial('a watch that was refused is continued from the same revision', async (t) => {
  const { revisions } = await follow((watch) => (watch === 3 ? failures.refused : undefined));
  t.deepEqual(revisions.slice(0, 5), [7, 8, 9, 9, 10]);
});

// A watch may hear nothing for a second before the history is dropped and the watch is cut.
[failures.compacted, failures.unanswered].forEach((failure) => {
  const kind = failure?.isErr() ? failure.error.kind : '';
  test.serial(`everything is read again after a watch that may have missed: ${kind}`, async (t) => {
    const { revisions } = await follow((watch) => (watch === 3 ? failure : undefined));
    t.deepEqual(revisions.slice(0, 5), [7, 8, 9, 7, 8]);
  });
});
