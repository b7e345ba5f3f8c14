import type { Clock } from '@apricothoist/common';
import { delay, Random } from '@apricothoist/common';
import { VirtualCoordinationStore } from '@apricothoist/testing';

import type { Clock as InstalledClock } from '@sinonjs/fake-timers';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok } from 'neverthrow';

import { CoordinationError, CoordinationErrorKind } from './CoordinationStore.js';
import { Election } from './Election.js';
import { leaseTimingFor } from './LeaseTiming.js';

const fastLinkMbps = 200;
const slowLinkMbps = 10;
/** Slack of an urgent job of the service requirements in milliseconds: see Election. */
const urgentSlackMs = 1_300;

type Renewal = ReturnType<VirtualCoordinationStore['renewLease']>;

type RenewalFate = (call: number) => { readonly answerMs: number; readonly isLost: boolean };

const prompt: RenewalFate = () => ({ answerMs: 2, isLost: false });

/** Ends leases that are not renewed in time, as the store does. */
class ExpiringStore extends VirtualCoordinationStore {
  private readonly expiries = new Map<number, NodeJS.Timeout>();

  private ttlMs = 0;

  public decideRenewal: RenewalFate = prompt;

  private renewals = 0;

  public override async grantLease(ttlMs = 0): ReturnType<VirtualCoordinationStore['grantLease']> {
    this.ttlMs = ttlMs;
    const lease = await super.grantLease();
    this.extend(lease._unsafeUnwrap());
    return lease;
  }

  public override async renewLease(lease: number): Renewal {
    this.renewals += 1;
    const { answerMs, isLost } = this.decideRenewal(this.renewals);
    await delay(answerMs / 2);
    if (!isLost) {
      this.extend(lease);
    }
    await delay(answerMs / 2);
    const lost = new CoordinationError(CoordinationErrorKind.unanswered, 'no response');
    return isLost ? (err(lost) as never) : ok(undefined);
  }

  private extend(lease: number): void {
    clearTimeout(this.expiries.get(lease));
    const timer = setTimeout(() => {
      this.endLease(lease).catch(() => {});
    }, this.ttlMs);
    this.expiries.set(lease, timer);
  }
}

const onError = (error: unknown): void => {
  throw error;
};

async function play(
  body: (timers: InstalledClock, run: (ms: number) => Promise<void>) => Promise<void>,
): Promise<void> {
  const timers = install({ now: 10_000, toFake: ['setTimeout', 'clearTimeout'] });
  try {
    await body(timers, async (ms) => {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
        await timers.tickAsync(10);
      }
    });
  } finally {
    timers.uninstall();
  }
}

function createElection(
  store: VirtualCoordinationStore,
  timers: InstalledClock,
  name: string,
  linkMbps: number,
): Election {
  const clock: Clock = { monotonic: () => timers.now, wall: () => timers.now };
  let isFollowing = false;
  const election = new Election(
    store,
    clock,
    new Random(name.length),
    { instance: name, feedAddress: '127.0.0.1:1' },
    // The feed of a holder that lost its power stays open without a sign.
    () => isFollowing,
    async () => ok(0),
    leaseTimingFor(linkMbps),
  );
  election.onHolderFound(() => {
    isFollowing = true;
  });
  return election;
}

// The successor read the key each 400 ms and only after the feed had been silent for 1.5 s: half a
// second and more of urgent work was late without need.
test.serial(
  'a successor starts within the slack of urgent jobs after a holder vanishes',
  async (t) => {
    await play(async (timers, run) => {
      const store = new ExpiringStore();
      const first = createElection(store, timers, 'first', fastLinkMbps);
      first.start(onError);
      await run(500);
      t.not(first.token, undefined);
      const second = createElection(store, timers, 'second', fastLinkMbps);
      second.start(onError);
      await run(3_000);
      store.decideRenewal = () => ({ answerMs: 100_000, isLost: true });
      const lostAt = timers.now;
      while (second.token === undefined && timers.now < lostAt + 10_000) {
        await run(10);
      }
      t.true(timers.now - lostAt <= urgentSlackMs, `${timers.now - lostAt} ms`);
    });
  },
);

/** Renewals of the slowest supported store, and of one that loses a third of its answers. */
const stores = {
  slow: () => ({ answerMs: 316, isLost: false }),
  lossy: (call: number) => ({ answerMs: 5, isLost: call % 3 === 0 }),
  slowAndLossy: (call: number) => ({ answerMs: 240, isLost: call % 3 === 0 }),
};

Object.entries(stores).forEach(([name, decideRenewal]) => {
  [fastLinkMbps, slowLinkMbps].forEach((linkMbps) => {
    // A lease that expires without need ends the term of a sound holder.
    test.serial(`the lease survives a ${name} store at ${linkMbps} Mbit/s`, async (t) => {
      await play(async (timers, run) => {
        const store = new ExpiringStore();
        const election = createElection(store, timers, 'first', linkMbps);
        const ended: string[] = [];
        const doubts: boolean[] = [];
        election.onTermEnd((reason) => ended.push(reason));
        election.onDoubtChange((isInDoubt) => doubts.push(isInDoubt));
        election.start(onError);
        await run(1_000);
        t.not(election.token, undefined);
        store.decideRenewal = decideRenewal;
        await run(30_000);
        t.deepEqual(ended, []);
        t.deepEqual(doubts, []);
        t.not(election.token, undefined);
      });
    });
  });
});
