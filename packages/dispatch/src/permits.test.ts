import {
  createSpecification,
  DispatchFixture,
  fixtureQueue,
  fixtureStep,
  listedRunner,
  plainStep,
  replayQueues,
} from '@apricothoist/testing';
import test from 'ava';

import type { Commands } from './Commands.js';
import type { Advice, Queue, Step } from './Job.js';
import type { AdviceQuestion } from './Permits.js';
import { StartOutcome } from './StartOutcome.js';

const advice: Advice = { decisionMs: 100, periodMs: 10, validityMs: 3_000 };
const advisedQueue: Queue = { ...fixtureQueue, advice };
const batchQueue = replayQueues.batch as Queue;
const single: Step = { ...fixtureStep, count: 1 };
/** Milliseconds after which time-driven checks run, and a refused start is repeated. */
const checkMs = 200;

function configure({ dispatcher }: DispatchFixture, queue: Queue): void {
  const queues = [queue, batchQueue];
  dispatcher.configure(new Map(queues.map((each) => [each.name, each])), new Map());
}

/** A fixture whose queue needs permits and whose runners have reported. */
function advisedFixture(
  steps: readonly Step[] = [single],
  runnerIds: readonly string[] = ['r1', 'r2'],
): DispatchFixture {
  const fixture = new DispatchFixture(steps, undefined, runnerIds);
  configure(fixture, advisedQueue);
  runnerIds.forEach((id) => fixture.report(id));
  return fixture;
}

function ask({ dispatcher, now }: DispatchFixture): AdviceQuestion | undefined {
  return dispatcher.advice.chooseQuestion(now);
}

/** Names in the next question, in order. */
function namedIn(fixture: DispatchFixture): string[] | undefined {
  return ask(fixture)
    ?.runners.map(({ id }) => id)
    .sort();
}

/** Asks the next question and answers it; `good` are the ids of the good runners. */
function answer(fixture: DispatchFixture, good: readonly string[]): readonly string[] {
  const question = ask(fixture) as AdviceQuestion;
  const tickets = good.map((id): [string, string] => [id, `ticket of ${id}`]);
  const { validityMs } = advice;
  return fixture.dispatcher.advice.record(question, { good: tickets, validityMs }, fixture.now);
}

function runnersOf({ starts }: Commands): string[] {
  return starts.map(({ runnerId }) => runnerId);
}

test('a task starts only on a runner with a permit, and the start carries it', (t) => {
  const fixture = advisedFixture();
  t.deepEqual(fixture.step().starts, []);
  t.deepEqual(namedIn(fixture), ['r1', 'r2']);
  t.is(ask(fixture)?.expectedMs, 120);
  answer(fixture, ['r2']);
  const { starts } = fixture.step();
  t.deepEqual(
    starts.map(({ runnerId, permit }) => [runnerId, permit]),
    [['r2', 'ticket of r2']],
  );
  t.is(ask(fixture), undefined, 'nothing waits');
});

test('a queue without advice asks nothing and starts without permits, beside one that waits', (t) => {
  const fixture = advisedFixture();
  const specification = { ...createSpecification('b', [plainStep]), queue: batchQueue.name };
  fixture.dispatcher.addJob(specification, batchQueue, fixture.now, fixture.now);
  const question = ask(fixture);
  t.is(question, undefined, 'before the task groups exist');
  const { starts } = fixture.step();
  t.deepEqual(
    starts.map(({ jobId, permit }) => [jobId, permit]),
    [['b', undefined]],
  );
  const plain = new DispatchFixture();
  plain.start();
  t.false(plain.dispatcher.advice.isUsed);
  t.is(plain.dispatcher.advice.chooseQuestion(plain.now), undefined);
});

test('a bad runner is not asked about again until it is restarted', (t) => {
  const fixture = advisedFixture();
  fixture.step();
  answer(fixture, []);
  t.deepEqual(fixture.step(checkMs).starts, []);
  t.is(ask(fixture), undefined);
  fixture.dispatcher.updateRunners(
    [listedRunner('r1'), listedRunner('r2', { processStartedAt: 2 })],
    fixture.now,
  );
  fixture.report('r2', [], [], 2);
  fixture.step();
  t.deepEqual(namedIn(fixture), ['r2']);
});

// The answer arrives after the runner process that it is about has ended.
test('a permit of an earlier incarnation of a runner is not used', (t) => {
  const fixture = advisedFixture([single], ['r1']);
  fixture.step();
  const question = ask(fixture) as AdviceQuestion;
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 2 })], fixture.now);
  fixture.report('r1', [], [], 2);
  const { validityMs } = advice;
  fixture.dispatcher.advice.record(question, { good: [['r1', 'old']], validityMs }, fixture.now);
  t.deepEqual(fixture.step().starts, []);
  t.deepEqual(namedIn(fixture), ['r1'], 'it is asked about anew');
});

test('a start whose permit lapses while the store is slow is not sent; the service is asked', (t) => {
  const fixture = advisedFixture([single], ['r1']);
  fixture.step();
  answer(fixture, ['r1']);
  const [start] = fixture.step().starts;
  t.true(start !== undefined && fixture.dispatcher.isStartWanted(start, fixture.now));
  if (start === undefined) {
    return;
  }
  fixture.now += advice.validityMs - 100;
  t.false(fixture.dispatcher.isStartWanted(start, fixture.now), 'it arrives too late');
  t.is(fixture.dispatcher.state.counters.lapsedPermits, 1);
  fixture.dispatcher.recordStartOutcomes('r1', start.task, start.run, [], fixture.now);
  t.deepEqual(fixture.step(checkMs).starts, []);
  t.deepEqual(namedIn(fixture), ['r1']);
  answer(fixture, ['r1']);
  t.deepEqual(runnersOf(fixture.step(checkMs)), ['r1']);
});

test('permits are not renewed once the step has started', (t) => {
  const fixture = advisedFixture([single], ['r1', 'r2', 'r3']);
  fixture.step();
  answer(fixture, ['r1', 'r2']);
  fixture.recordStartOutcomes(fixture.step(), StartOutcome.started);
  fixture.now += advice.validityMs;
  fixture.step();
  t.is(ask(fixture), undefined);
});

test('a refused permit is dropped and asked for again, and is no fault of the runner', (t) => {
  const fixture = advisedFixture([single], ['r1']);
  fixture.step();
  for (let refusals = 1; refusals <= 3; refusals += 1) {
    answer(fixture, ['r1']);
    const commands = fixture.step(checkMs);
    t.deepEqual(runnersOf(commands), ['r1']);
    fixture.recordStartOutcomes(commands, StartOutcome.permitRefused);
    t.deepEqual(fixture.step(checkMs).starts, [], 'no start with the refused permit');
  }
  const { state } = fixture.dispatcher;
  const group = [...(state.jobs.values().next().value?.groups.values() ?? [])][0];
  t.is(group?.failures, 0);
  t.is(state.runners.get('r1')?.faultCount, 0);
  t.is(state.counters.refusedPermits, 3);
  t.is(ask(fixture), undefined, 'a runner that goes on refusing counts as bad');
});

// An answer with other runners is that to another question: no runner may count as bad for ever.
test('an answer with ids that were not named makes no runner bad', (t) => {
  const fixture = advisedFixture();
  fixture.step();
  t.deepEqual(answer(fixture, ['r1', 'r9']), ['r9']);
  t.deepEqual(runnersOf(fixture.step()), ['r1'], 'the named one is used');
  const other = advisedFixture();
  other.step();
  t.deepEqual(answer(other, ['r9']), ['r9']);
  t.deepEqual(other.step().starts, []);
  t.deepEqual(namedIn(other), ['r1', 'r2']);
  other.dispatcher.advice.recordFailure(ask(other) as AdviceQuestion, other.now + checkMs);
  t.is(ask(other), undefined, 'its step is postponed');
  other.step(checkMs);
  t.deepEqual(namedIn(other), ['r1', 'r2']);
});

test('advice that the configuration adds holds waiting and unsent starts back; dropped, it frees them', (t) => {
  const fixture = new DispatchFixture([single], undefined, ['r1', 'r2']);
  fixture.report('r1');
  fixture.report('r2');
  const commands = fixture.step();
  const [start] = commands.starts;
  configure(fixture, advisedQueue);
  t.false(start !== undefined && fixture.dispatcher.isStartWanted(start, fixture.now));
  fixture.recordStartOutcomes(commands, StartOutcome.notSent);
  t.deepEqual(fixture.step(checkMs).starts, []);
  t.deepEqual(namedIn(fixture), ['r1', 'r2']);
  configure(fixture, fixtureQueue);
  const { starts } = fixture.step(checkMs);
  t.deepEqual(
    starts.map(({ permit }) => permit),
    [undefined],
  );
  t.is(ask(fixture), undefined);
});

// Runners elsewhere are slower for the step, and a rack without room is no reason to wait.
test('the rack of the data is asked about first, and others once it has no room', (t) => {
  const step = { ...single, count: 2, dataRack: 'near' };
  const fixture = advisedFixture([{ ...step, isGang: false }], ['r1', 'r2', 'r3']);
  fixture.dispatcher.updateRunners(
    ['r1', 'r2', 'r3'].map((id) => listedRunner(id, { rack: id === 'r3' ? 'near' : 'far' })),
    fixture.now,
  );
  fixture.step();
  t.deepEqual(namedIn(fixture), ['r3']);
  answer(fixture, ['r3']);
  const commands = fixture.step();
  t.deepEqual(runnersOf(commands), ['r3']);
  fixture.recordStartOutcomes(commands, StartOutcome.started);
  t.deepEqual(namedIn(fixture), ['r1', 'r2']);
});

test('a gang that prefers one rack is not spread while a rack may hold it', (t) => {
  const step = { ...fixtureStep, prefersOneRack: true };
  const ids = ['r1', 'r2', 'r3', 'r4'];
  const fixture = advisedFixture([step], ids);
  fixture.dispatcher.updateRunners(
    ids.map((id) => listedRunner(id, { rack: id < 'r3' ? 'a' : 'b' })),
    fixture.now,
  );
  fixture.step();
  t.deepEqual(namedIn(fixture), ids, 'no rack alone is expected to suffice');
  const question = ask(fixture) as AdviceQuestion;
  const { validityMs } = advice;
  const first = { ...question, runners: question.runners.filter(({ id }) => id !== 'r4') };
  fixture.dispatcher.advice.record(
    first,
    { good: [['r1', 't'] as const, ['r3', 't'] as const], validityMs },
    fixture.now,
  );
  t.deepEqual(fixture.step().starts, [], 'r4 may be good');
  t.deepEqual(namedIn(fixture), ['r4']);
  answer(fixture, []);
  t.deepEqual(runnersOf(fixture.step()).sort(), ['r1', 'r3'], 'no rack is left');
});

test('nothing is preempted before it is known where the task may run', (t) => {
  const fixture = new DispatchFixture([single], undefined, ['r1', 'r2']);
  const filler = { ...plainStep, count: 2, size: single.size, declaredMs: 60_000 };
  const specification = { ...createSpecification('b', [filler]), queue: batchQueue.name };
  configure(fixture, advisedQueue);
  fixture.dispatcher.addJob(specification, batchQueue, fixture.now, fixture.now);
  fixture.report('r1');
  fixture.report('r2');
  const fillers = fixture.step();
  fixture.recordStartOutcomes(fillers, StartOutcome.started);
  t.deepEqual(runnersOf(fillers).sort(), ['r1', 'r2']);
  t.deepEqual(fixture.step(checkMs).stops, []);
  t.deepEqual(namedIn(fixture), ['r1', 'r2'], 'runners that may be freed are asked about');
  answer(fixture, ['r2']);
  t.deepEqual(
    fixture.step(checkMs).stops.map(({ runnerId }) => runnerId),
    ['r2'],
  );
  // The permit must still be valid once the victim has stopped.
  fixture.now += 2_000;
  t.deepEqual(namedIn(fixture), ['r2']);
});
