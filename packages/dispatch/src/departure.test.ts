import { DispatchFixture, endedTask, listedRunner, runningTask } from '@apricothoist/testing';
import test from 'ava';

import { RunEnd } from './TaskGroupLifecycle.js';

/** Milliseconds between listings of the registry. */
const listIntervalMs = 700;
/** Lease in milliseconds on a draining runner, and the time after which it counts as expired. */
const drainingLeaseMs = 4_000;
const drainingExpiryMs = Math.ceil(drainingLeaseMs / 0.98 + 150);
/** Milliseconds between checks of the leases. */
const checkMs = 100;
/** Longer than a lease on a runner that does not drain. */
const drainedMs = 7_000;

interface Departure {
  readonly isDraining: boolean;
  readonly isUnanswered: boolean;
  /** Milliseconds from the last extended lease until the registry no longer contains the runner. */
  readonly unlistedAfterMs: number;
  /** Whether another writer overwrites the entry in place of its removal. */
  readonly isOverwritten?: boolean;
}

/** Starts a gang on r1 and r2, loses r1, and returns after how long r3 replaces it. */
function restartDelay(departure: Departure): number {
  const { isDraining, isUnanswered, unlistedAfterMs, isOverwritten = false } = departure;
  const fixture = new DispatchFixture();
  const { dispatcher } = fixture;
  fixture.start();
  const others = [listedRunner('r2'), listedRunner('r3')];
  const all = [listedRunner('r1', { isDraining }), ...others];
  const endOfTouch = fixture.now + drainedMs;
  while (fixture.now < endOfTouch) {
    dispatcher.updateRunners(all, fixture.now);
    ['r1', 'r2'].forEach((id, index) => {
      dispatcher.grantLease(id, fixture.now);
      fixture.report(id, [runningTask(index)]);
    });
    fixture.report('r3');
    fixture.step(listIntervalMs);
  }
  const grantedAt = fixture.now;
  dispatcher.grantLease('r1', grantedAt);
  if (isUnanswered) {
    dispatcher.recordUnansweredCall('r1', fixture.now);
  }
  let isStarted = false;
  while (!isStarted && fixture.now < grantedAt + 2 * drainedMs) {
    const isGone = fixture.now - grantedAt >= unlistedAfterMs;
    const unreadableIds = new Set(isGone && isOverwritten ? ['r1'] : []);
    dispatcher.updateRunners(isGone ? others : all, fixture.now, fixture.now, unreadableIds);
    // The gang is broken once one member has ended, and its other member ends.
    fixture.report('r2', [], [endedTask(1, 1, RunEnd.broken)]);
    fixture.report('r3');
    isStarted = fixture.step(checkMs).starts.length > 0;
  }
  return fixture.now - grantedAt;
}

const departed = { isDraining: true, isUnanswered: true, unlistedAfterMs: 0 };

// The gang waited for the longest lease beside free runners.
test('a gang starts again once the short lease on a runner that has left has expired', (t) => {
  t.true(restartDelay(departed) <= drainingExpiryMs + 2 * checkMs);
  t.true(restartDelay({ ...departed, unlistedAfterMs: 3_000 }) <= drainingExpiryMs + 2 * checkMs);
});

// Each of these may be a runner that is cut off, or that leaves the registry first, and works on.
test('nothing that others say of a runner ends its runs before their leases', (t) => {
  const isInTime = (departure: Departure): boolean => restartDelay(departure) > drainingExpiryMs;
  t.true(isInTime(departed), 'left as announced');
  t.true(isInTime({ ...departed, isUnanswered: false }), 'still listed as answering');
  t.true(isInTime({ ...departed, unlistedAfterMs: 2_800 }), 'gone later');
  t.true(isInTime({ ...departed, isOverwritten: true }), 'entry of another writer');
  t.true(isInTime({ ...departed, isDraining: false }), 'not announced');
});

test('a lease that was granted before the drain counts to its end', (t) => {
  const fixture = new DispatchFixture();
  const { dispatcher } = fixture;
  fixture.start();
  const [runner] = dispatcher.state.runners.values();
  const longest = dispatcher.grantLease('r1', fixture.now);
  const end = runner?.leaseEnd ?? 0;
  dispatcher.updateRunners([listedRunner('r1', { isDraining: true })], fixture.now);
  const granted = dispatcher.grantLease('r1', fixture.now + checkMs);
  t.is(granted, fixture.now + checkMs + drainingLeaseMs);
  t.true((longest ?? 0) > (granted ?? Infinity));
  t.is(runner?.leaseEnd, end);
});
