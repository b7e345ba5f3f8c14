import { DispatchFixture, endedTask, listedRunner, runningTask } from '@apricothoist/testing';
import test from 'ava';

import { RunEnd } from './TaskGroupLifecycle.js';

/** Milliseconds between listings of the registry. */
const listIntervalMs = 700;

interface Departure {
  readonly isDraining: boolean;
  readonly isDisconnected: boolean;
  /** Milliseconds from the lost contact until the registry no longer contains the runner. */
  readonly listedMs: number;
  /** Age of the entry in milliseconds when the contact is lost; undefined if unknown. */
  readonly entryAgeMs: number | undefined;
  /** Whether another writer overwrites the entry in place of its removal. */
  readonly isOverwritten?: boolean;
}

/** Starts a gang on r1 and r2, loses r1, and returns the commands once r3 can replace it. */
function startsAfter(departure: Departure): number {
  const { isDraining, isDisconnected, listedMs, entryAgeMs, isOverwritten = false } = departure;
  const fixture = new DispatchFixture();
  const { dispatcher } = fixture;
  fixture.start();
  ['r1', 'r2'].forEach((id, index) => fixture.report(id, [runningTask(index)]));
  const entries = [listedRunner('r2'), listedRunner('r3')];
  const dated = entryAgeMs === undefined ? {} : { writtenAfter: fixture.now - entryAgeMs };
  const departing = listedRunner('r1', { isDraining, ...dated });
  dispatcher.updateRunners([departing, ...entries], fixture.now);
  fixture.report('r3');
  dispatcher.recordUnansweredCall('r1', fixture.now, isDisconnected);
  for (let elapsedMs = listIntervalMs; elapsedMs < listedMs; elapsedMs += listIntervalMs) {
    fixture.now += listIntervalMs;
    dispatcher.updateRunners([departing, ...entries], fixture.now);
  }
  fixture.now += listIntervalMs;
  const unreadableIds = new Set(isOverwritten ? ['r1'] : []);
  dispatcher.updateRunners(entries, fixture.now, fixture.now, unreadableIds);
  // The gang is broken, and its other member has ended.
  fixture.report('r2', [], [endedTask(1, 1, RunEnd.broken)]);
  fixture.report('r3');
  return fixture.step(100).starts.length;
}

const departed = { isDraining: true, isDisconnected: true, listedMs: 0, entryAgeMs: 1_500 };

// The gang waited for the lease of the member to expire, up to ten seconds, beside free runners.
test('a gang starts again at once after a runner departed as announced', (t) => {
  t.is(startsAfter(departed), 2);
  t.is(startsAfter({ ...departed, entryAgeMs: 3_000 }), 2);
});

// Each of these may be a runner that is cut off and works on.
test('a run is not held to have ended without every sign of a departure', (t) => {
  t.is(startsAfter({ ...departed, isDraining: false }), 0, 'not announced');
  t.is(startsAfter({ ...departed, isDisconnected: false }), 0, 'only silent');
  t.is(startsAfter({ ...departed, entryAgeMs: 4_000 }), 0, 'the entry may have expired');
  t.is(startsAfter({ ...departed, listedMs: 2_800 }), 0, 'expired entry');
  t.is(startsAfter({ ...departed, entryAgeMs: undefined }), 0, 'entry of unknown age');
  t.is(startsAfter({ ...departed, isOverwritten: true }), 0, 'entry of another writer');
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
