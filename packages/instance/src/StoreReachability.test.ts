import { Random } from '@apricothoist/common';
import test from 'ava';

import { expectedOutageEnd, storeRetryAfterMs } from './storeRetry.js';
import type { ObservedCall } from './StoreReachability.js';
import { CallOutcome, StoreReachability, StoreReach } from './StoreReachability.js';

const usualMs = 4;
const slowMs = 60 * usualMs;
const timeoutMs = 700;
const watchMs = 1_050;
const retryMs = 150;
const tickMs = 20;
const maxProbes = 2;
const endMs = 14_000;
const outageAt = 3_000;

interface Fate {
  readonly outcome: CallOutcome;
  readonly latencyMs: number;
}
type Fates = (now: number) => Fate;

const answered: Fate = { outcome: CallOutcome.answered, latencyMs: usualMs };
const slow: Fate = { outcome: CallOutcome.answered, latencyMs: slowMs };
const refused: Fate = { outcome: CallOutcome.refused, latencyMs: usualMs };
const lost: Fate = { outcome: CallOutcome.unanswered, latencyMs: timeoutMs };

/** Fates during a fault of `durationMs`; a call in flight at its start shares it. */
const fault =
  (fate: Fate, durationMs: number): Fates =>
  (now) =>
    now > outageAt - usualMs && now < outageAt + durationMs ? fate : answered;

interface OpenCall {
  readonly call: ObservedCall;
  readonly endsAt: number;
  readonly outcome: CallOutcome;
  readonly onEnd: (now: number) => void;
}

/** The calls of an instance: the watch of the configuration, calls of requests, and probes. */
class ReplayedInstance {
  private readonly reachability = new StoreReachability();

  private openCalls: OpenCall[] = [];

  private watchAt = 0;

  private probes = 0;

  /** Periods in which the store counted as out of reach. */
  public readonly outages: { from: number; to: number }[] = [];

  public slowTicks = 0;

  public constructor(private readonly fates: Fates) {}

  public step(now: number, isRequested: boolean): void {
    if (now % tickMs === 0) {
      this.tick(now);
    }
    const ended = this.openCalls.filter(({ endsAt }) => endsAt <= now);
    this.openCalls = this.openCalls.filter(({ endsAt }) => endsAt > now);
    ended.forEach(({ call, outcome, onEnd }) => {
      this.reachability.end(call, outcome, now);
      onEnd(now);
    });
    if (now >= this.watchAt) {
      this.watchAt = Infinity;
      this.begin(now, watchMs, (endedAt) => {
        this.watchAt = endedAt + retryMs;
      });
    }
    if (isRequested) {
      this.begin(now, 0, () => {});
    }
    this.recordOutage(now);
  }

  private tick(now: number): void {
    this.reachability.check(now);
    const isSlow = this.reachability.reach(undefined, now) === StoreReach.slow;
    this.slowTicks += isSlow ? 1 : 0;
    if (this.probes < maxProbes && this.reachability.takeProbe(now)) {
      this.probes += 1;
      this.begin(now, 0, () => {
        this.probes -= 1;
      });
    }
  }

  private begin(now: number, waitMs: number, onEnd: (now: number) => void): void {
    const call = this.reachability.begin(now, waitMs);
    const sent = this.fates(now);
    // A watch is refused at once, or fails when its answer is due.
    const isWaiting = waitMs > 0 && sent.outcome === CallOutcome.answered;
    const { outcome, latencyMs } = isWaiting ? this.fates(now + waitMs) : sent;
    const isHeld = isWaiting || outcome === CallOutcome.unanswered;
    const endsAt = now + latencyMs + (isHeld ? waitMs : 0);
    this.openCalls.push({ call, endsAt, outcome, onEnd });
  }

  private recordOutage(now: number): void {
    const last = this.outages.at(-1);
    const wasOutOfReach = last?.to === Infinity;
    if (this.reachability.isOutOfReach && !wasOutOfReach) {
      this.outages.push({ from: now, to: Infinity });
    } else if (!this.reachability.isOutOfReach && wasOutOfReach) {
      last.to = now;
    }
  }
}

/** @param stall period in which the process does not run */
function replay(fates: Fates, callsPerS: number, stall = { from: 0, to: 0 }): ReplayedInstance {
  const random = new Random(1);
  const instance = new ReplayedInstance(fates);
  for (let now = 0; now < endMs; now += 1) {
    const isRequested = random.fraction() < callsPerS / 1_000;
    if (now < stall.from || now >= stall.to) {
      instance.step(now, isRequested);
    }
  }
  return instance;
}

const rates = [0, 2, 20, 100];

// Guards against an outage that is noticed only by the watch, up to 1.8 s after it began.
test('a silent store is out of reach soon after the calls of the instance show it', (t) => {
  rates.forEach((callsPerS) => {
    const { outages } = replay(fault(lost, 4_200), callsPerS);
    t.is(outages.length, 1, `${callsPerS} calls a second`);
    const [{ from, to } = { from: 0, to: 0 }] = outages;
    // The next call comes within five mean intervals, or when the watch ends.
    const nextCallMs = Math.min(watchMs, callsPerS === 0 ? watchMs : 5_000 / callsPerS);
    t.true(from > outageAt && from <= outageAt + nextCallMs + 540, `noticed at ${from}`);
    const endedAt = outageAt + 4_200;
    t.true(to >= endedAt && to <= endedAt + timeoutMs + 100, `over at ${to}`);
  });
});

test('a store that refuses the calls of this instance is out of reach until it answers', (t) => {
  [2, 20, 100].forEach((callsPerS) => {
    const { outages } = replay(fault(refused, 9_000), callsPerS);
    t.is(outages.length, 1);
    const [{ from, to } = { from: 0, to: 0 }] = outages;
    t.true(from >= outageAt && from <= outageAt + 10_000 / callsPerS, `noticed at ${from}`);
    t.true(to >= outageAt + 9_000 && to <= outageAt + 9_300, `over at ${to}`);
  });
});

// A slow store that counted as out of reach would have its open submissions answered with 504.
test('a store that is slow by 60 times is slow, not out of reach', (t) => {
  rates.forEach((callsPerS) => {
    const { outages, slowTicks } = replay(fault(slow, 4_500), callsPerS);
    t.deepEqual(outages, [], `${callsPerS} calls a second`);
    t.true(slowTicks * tickMs > 1_000);
  });
});

test('single lost answers are no outage, at any rate of calls', (t) => {
  rates.forEach((callsPerS) => {
    let calls = 0;
    const everyTenth: Fates = () => {
      calls += 1;
      return calls % 10 === 0 ? lost : answered;
    };
    t.deepEqual(replay(everyTenth, callsPerS).outages, [], `${callsPerS} calls a second`);
  });
});

// After a stall of this process all answers are late, but they have arrived.
test('a stall of the instance itself is no outage of the store', (t) => {
  const stall = { from: 5_000, to: 6_500 };
  t.deepEqual(replay(() => answered, 100, stall).outages, []);
});

test('calls that fail together with one connection are one failure', (t) => {
  const reachability = new StoreReachability();
  const calls = [0, 1, 2].map((now) => reachability.begin(now));
  calls.forEach((call) => reachability.end(call, CallOutcome.unanswered, 5));
  t.false(reachability.isOutOfReach);
});

test('what the scheduling instance reports tells an outage here from one for all', (t) => {
  const reachability = new StoreReachability();
  [0, 10].forEach((now) => reachability.end(reachability.begin(now), CallOutcome.refused, now + 1));
  const report = { isStoreReachable: true, receivedAt: 20 };
  t.is(reachability.reach(undefined, 20), StoreReach.outOfReachHere);
  t.is(reachability.reach(report, 20), StoreReach.outOfReachHere);
  t.is(reachability.reach({ ...report, isStoreReachable: false }, 20), StoreReach.outOfReachForAll);
  t.false(reachability.isReachedElsewhere(report), 'it may be older than the outage');
  t.true(reachability.isReachedElsewhere({ ...report, receivedAt: 1_000 }));
});

// Guards against retries that are used up within the outage, and against a burst after it.
test('clients retry at once where another instance serves, else spread after the outage', (t) => {
  const now = 10_500;
  const facts = {
    reach: StoreReach.outOfReachForAll,
    outOfReachSince: 10_000,
    isReachedElsewhere: false,
  };
  t.is(storeRetryAfterMs({ ...facts, isReachedElsewhere: true }, now, 0.5), 0);
  const retries = Array.from({ length: 100 }, (_, index) =>
    storeRetryAfterMs(facts, now, index / 100),
  );
  t.true(Math.min(...retries) >= 3_500);
  t.true(Math.max(...retries) - Math.min(...retries) > 900);
  t.true(storeRetryAfterMs(facts, 20_000, 0) >= 1_000, 'an outage longer than usual');
  const here = { ...facts, reach: StoreReach.outOfReachHere };
  t.true(storeRetryAfterMs(here, now, 0.9) <= 2_000, 'nothing is known of others');
  t.is(expectedOutageEnd(10_000, now), 14_000);
});
