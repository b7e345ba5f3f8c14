import {
  DispatchFixture,
  fixtureJobId,
  listedRunner,
  plainStep,
  replayBounds,
  runningTask,
} from '@apricothoist/testing';
import test from 'ava';

import type { TaskCrash } from './CrashHistory.js';
import { CrashSuspicion } from './CrashHistory.js';
import { createProgressRecord } from './ProgressRecord.js';
import { StartOutcome } from './StartOutcome.js';

const leaseMs = replayBounds.maxLeaseMs * 1.1;

function crashesOf(fixture: DispatchFixture): readonly TaskCrash[] {
  const groups = fixture.dispatcher.state.jobs.get(fixtureJobId)?.groups.values() ?? [];
  return [...groups].flatMap(({ members }) => members.flatMap(({ crashes }) => crashes.all));
}

/** A single task that runs on the only runner. */
function startOne(): DispatchFixture {
  const fixture = new DispatchFixture([plainStep], undefined, ['r1']);
  fixture.report('r1');
  fixture.recordStartOutcomes(fixture.step(), StartOutcome.started);
  return fixture;
}

// The next process has another id, so that nothing but the leases tells of the crash.
test('a runner whose leases expire without an answer is presumed to have crashed', (t) => {
  const fixture = startOne();
  fixture.dispatcher.recordUnansweredCall('r1', fixture.now + 20);
  fixture.step(leaseMs);
  t.like(crashesOf(fixture), [{ runnerId: 'r1', suspicion: CrashSuspicion.alone }]);
  t.true((crashesOf(fixture)[0]?.ageMs ?? Infinity) < 100, 'the age is that of the loss');
});

test('a runner that answers again had not crashed', (t) => {
  const fixture = startOne();
  fixture.dispatcher.recordUnansweredCall('r1', fixture.now);
  fixture.step(leaseMs);
  fixture.report('r1');
  t.deepEqual(crashesOf(fixture), []);
});

test('the end of a runner that drains is no crash', (t) => {
  const fixture = startOne();
  fixture.dispatcher.updateRunners([listedRunner('r1', { isDraining: true })], fixture.now);
  fixture.report('r1', [runningTask(0)]);
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 9 })], fixture.now);
  fixture.report('r1', [], [], 9);
  t.deepEqual(crashesOf(fixture), []);
});

test('crashes and incarnations are stored for a successor', (t) => {
  const before = startOne();
  before.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 9 })], before.now);
  t.is(crashesOf(before).length, 0, 'an entry may come from another writer');
  before.now += 5;
  before.report('r1', [], [], 9);
  t.is(crashesOf(before).length, 1);
  before.recordStartOutcomes(before.step(500), StartOutcome.started);
  const job = before.dispatcher.state.jobs.get(fixtureJobId);
  const progress = createProgressRecord(job as NonNullable<typeof job>);
  const stored = { progress: JSON.parse(JSON.stringify(progress)) as typeof progress, version: 7 };
  const after = new DispatchFixture([plainStep], stored, ['r1']);
  // The fixture lists the first incarnation; the run was started on the second.
  after.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 20 })], after.now);
  t.is(crashesOf(after).length, 1);
  after.now += 5;
  after.report('r1', [], [], 20);
  t.is(crashesOf(after).length, 2);
});

test('a draining runner that goes before its announced departure has crashed', (t) => {
  const fixture = startOne();
  const draining = { isDraining: true, minRemainingMs: 8_000 };
  fixture.dispatcher.updateRunners([listedRunner('r1', draining)], fixture.now);
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 9 })], fixture.now);
  fixture.report('r1', [], [], 9);
  t.is(crashesOf(fixture).length, 1);
});

// Cut networks looked like crashes at the same age, and innocent tasks were given up.
test('a crash is certain only with another process at the address of the runner', (t) => {
  [false, true].forEach((isReplaced) => {
    const fixture = startOne();
    fixture.dispatcher.recordUnansweredCall('r1', fixture.now);
    const successor = listedRunner('r9', { address: isReplaced ? 'r1' : 'r9' });
    fixture.dispatcher.updateRunners([listedRunner('r1'), successor], fixture.now);
    fixture.report('r9');
    fixture.step(leaseMs);
    t.like(crashesOf(fixture), [{ isDoubtful: !isReplaced }]);
  });
});

// The retry of a start command was executed by the next process, and crashed it as well.
test('a start that two processes may have executed counts as two crashes', (t) => {
  const fixture = new DispatchFixture([plainStep], undefined, ['r1']);
  fixture.report('r1');
  fixture.step();
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 9 })], fixture.now);
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 20 })], fixture.now);
  fixture.report('r1', [], [], 20);
  t.is(crashesOf(fixture).length, 2);
  const answered = startOne();
  answered.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 9 })], answered.now);
  answered.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 20 })], answered.now);
  answered.report('r1', [], [], 20);
  t.is(crashesOf(answered).length, 1, 'no call is open');
});
