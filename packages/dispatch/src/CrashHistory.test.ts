import test from 'ava';

import type { TaskCrash } from './CrashHistory.js';
import { CrashHistory, CrashSuspicion } from './CrashHistory.js';

const { alone, latest, beside } = CrashSuspicion;
let runners = 0;

function crash(suspicion: CrashSuspicion, ageMs: number, isDoubtful = false): TaskCrash {
  runners += 1;
  return { runnerId: `r${runners}`, processStartedAt: 1, suspicion, isDoubtful, ageMs };
}

function historyOf(...crashes: readonly TaskCrash[]): CrashHistory {
  const history = new CrashHistory();
  crashes.forEach((each) => history.add(each));
  return history;
}

test('two crashes right after the start, one of them alone, prove the task to blame', (t) => {
  t.true(historyOf(crash(latest, 20), crash(alone, 15)).isToBeGivenUp);
  t.true(historyOf(crash(alone, 400), crash(alone, 600)).isToBeGivenUp);
});

test('a task is not given up for crashes that others may have caused', (t) => {
  t.false(historyOf(crash(alone, 20)).isToBeGivenUp, 'a single one');
  t.false(historyOf(crash(latest, 20), crash(latest, 20)).isToBeGivenUp, 'never alone');
  t.false(historyOf(crash(beside, 20), crash(alone, 20)).isToBeGivenUp, 'others started later');
  t.false(historyOf(crash(alone, 20), crash(alone, 900)).isToBeGivenUp, 'at different ages');
  t.false(historyOf(crash(alone, 3_000), crash(alone, 3_000)).isToBeGivenUp, 'late, twice');
  const common = historyOf(crash(alone, 20, true), crash(alone, 20, true), crash(alone, 20, true));
  t.false(common.isToBeGivenUp, 'several runners at the same time');
  t.false(historyOf(crash(alone, 20, true), crash(latest, 20, true)).isSuspect);
});

test('crashes late in a run prove the task to blame from the third on', (t) => {
  t.true(historyOf(crash(latest, 3_000), crash(alone, 3_100), crash(alone, 2_900)).isToBeGivenUp);
});

// The service requirement forbids the third start.
test('a task is started at most twice after its third crash, whoever is to blame', (t) => {
  const history = historyOf(crash(beside, 10), crash(beside, 900), crash(beside, 5_000));
  t.true(history.isLimited);
  history.recordStart();
  t.false(history.isToBeGivenUp);
  const restored = CrashHistory.restore(history.toRecord() ?? [0, []]);
  restored.recordStart();
  t.true(restored.isToBeGivenUp);
});

test('a start that was certainly not executed does not count', (t) => {
  const history = historyOf(crash(beside, 10), crash(beside, 900), crash(beside, 5_000));
  history.recordStart();
  history.recordStart();
  history.recordNotStarted('r0', 1);
  t.false(history.isToBeGivenUp);
});

test('the crash of one incarnation counts once, and can be retracted', (t) => {
  const first = crash(alone, 20);
  const history = historyOf(first, first);
  t.is(history.all.length, 1);
  t.true(history.isSuspect);
  t.true(history.retract(first.runnerId, first.processStartedAt));
  t.false(history.isSuspect);
  t.is(history.toRecord(), undefined);
});
