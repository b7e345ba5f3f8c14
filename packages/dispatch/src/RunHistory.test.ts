import test from 'ava';

import { EndEvidence } from './EndEvidence.js';
import { RunHistory } from './RunHistory.js';
import { StartOutcome } from './StartOutcome.js';

const { unknown, unhealthy, noCapacity, outdatedRun, started } = StartOutcome;

function isEndedBy(history: RunHistory, evidence: EndEvidence, at: number): boolean {
  return history.isEndedBy({ evidence, at, leaseEnd: 500 });
}

test('a refusal ends a run only if no call is open', (t) => {
  const cases: readonly (readonly [readonly StartOutcome[], boolean])[] = [
    [[unhealthy], true],
    [[noCapacity], true],
    [[], true],
    [[unknown], false],
    [[unknown, unhealthy], false],
    [[unknown, unknown, noCapacity], false],
    [[outdatedRun], false],
    [[unknown, outdatedRun], false],
    [[started], false],
  ];
  cases.forEach(([outcomes, expected]) => {
    const history = RunHistory.forStart();
    t.false(isEndedBy(history, EndEvidence.refused, 100), 'the call is in flight');
    history.recordStartOutcomes(outcomes, 100);
    t.is(isEndedBy(history, EndEvidence.refused, 100), expected, outcomes.join(','));
  });
});

test('a report without the run ends it only if requested after it was seen or stopped', (t) => {
  const history = RunHistory.forStart();
  history.recordStartOutcomes([unknown, unhealthy], 100);
  t.false(isEndedBy(history, EndEvidence.absent, 1_000), 'the first call may be executed late');
  history.recordReportable(200);
  t.false(isEndedBy(history, EndEvidence.absent, 200));
  t.true(isEndedBy(history, EndEvidence.absent, 201));
});

test('a run from stored progress ends with a report requested after the takeover', (t) => {
  const history = RunHistory.forTakeover(100);
  t.false(isEndedBy(history, EndEvidence.absent, 100));
  t.true(isEndedBy(history, EndEvidence.absent, 101));
});

test('an expired lease and a listed end are evidence in any state', (t) => {
  const history = RunHistory.forStart();
  t.false(isEndedBy(history, EndEvidence.leaseExpired, 500));
  t.true(isEndedBy(history, EndEvidence.leaseExpired, 501));
  t.true(isEndedBy(history, EndEvidence.reported, 0));
});

test('a restart takes back the proof for a run with an open call only', (t) => {
  const stopped = RunHistory.forStart();
  stopped.recordStartOutcomes([unknown], 100);
  stopped.recordReportable(200);
  stopped.recordRestart();
  t.true(stopped.needsStop);
  t.false(isEndedBy(stopped, EndEvidence.absent, 1_000));
  stopped.recordReportable(1_100);
  t.true(isEndedBy(stopped, EndEvidence.absent, 1_200));
  const answered = RunHistory.forStart();
  answered.recordStartOutcomes([started], 100);
  answered.recordRestart();
  t.true(isEndedBy(answered, EndEvidence.absent, 1_000));
});
