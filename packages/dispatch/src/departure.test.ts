import { DispatchFixture, endedTask, listedRunner, runningTask } from '@apricothoist/testing';
import test from 'ava';

import { RunEnd } from './TaskGroupLifecycle.js';

/** Milliseconds between listings of the registry. */
const listIntervalMs = 700;

interface Departure {
  readonly isDraining: boolean;
  readonly isDisconnected: boolean;
  /** Milliseconds from the lost contact until the registry no longer lists the runner. */
  readonly listedMs: number;
}

/** Starts a gang on r1 and r2, loses r1, and returns the commands once r3 can replace it. */
function startsAfter({ isDraining, isDisconnected, listedMs }: Departure): number {
  const fixture = new DispatchFixture();
  const { dispatcher } = fixture;
  fixture.start();
  ['r1', 'r2'].forEach((id, index) => fixture.report(id, [runningTask(index)]));
  const entries = [listedRunner('r2'), listedRunner('r3')];
  const list = (isListed: boolean): void => {
    const departing = isListed ? [listedRunner('r1', { isDraining })] : [];
    dispatcher.updateRunners([...departing, ...entries], fixture.now);
  };
  list(true);
  fixture.report('r3');
  dispatcher.recordUnansweredCall('r1', fixture.now, isDisconnected);
  for (let elapsedMs = listIntervalMs; elapsedMs < listedMs; elapsedMs += listIntervalMs) {
    fixture.now += listIntervalMs;
    list(true);
  }
  fixture.now += listIntervalMs;
  list(false);
  // The gang is broken, and its other member has ended.
  fixture.report('r2', [], [endedTask(1, 1, RunEnd.broken)]);
  fixture.report('r3');
  return fixture.step(100).starts.length;
}

// The gang waited for the lease of the member to expire, up to ten seconds, beside free runners.
test('a gang starts again at once after a runner departed as announced', (t) => {
  t.is(startsAfter({ isDraining: true, isDisconnected: true, listedMs: 0 }), 2);
});

// Each of these may be a runner that is cut off and works on.
test('a run is not held to have ended without every sign of a departure', (t) => {
  t.is(startsAfter({ isDraining: false, isDisconnected: true, listedMs: 0 }), 0, 'not announced');
  t.is(startsAfter({ isDraining: true, isDisconnected: false, listedMs: 0 }), 0, 'only silent');
  t.is(
    startsAfter({ isDraining: true, isDisconnected: true, listedMs: 4_500 }),
    0,
    'expired entry',
  );
});

test('an answer after a closed connection takes the sign of a departure back', (t) => {
  const fixture = new DispatchFixture();
  fixture.start();
  const [runner] = fixture.dispatcher.state.runners.values();
  fixture.dispatcher.recordUnansweredCall('r1', fixture.now, true);
  t.not(runner?.disconnectedAt, undefined);
  fixture.report('r1', [runningTask(0)]);
  t.is(runner?.disconnectedAt, undefined);
});
