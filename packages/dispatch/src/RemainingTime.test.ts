import { DispatchFixture, fixtureStep, runningTask } from '@apricothoist/testing';
import test from 'ava';

import { remainingRunMs } from './RemainingTime.js';
import type { TaskGroup } from './TaskGroup.js';

const declaredMs = 9_000;

function startedFixture(): { fixture: DispatchFixture; group: TaskGroup } {
  const fixture = new DispatchFixture([{ ...fixtureStep, declaredMs }]);
  fixture.start();
  const [job] = fixture.dispatcher.state.jobs.values();
  return { fixture, group: [...(job?.groups.values() ?? [])][0] as TaskGroup };
}

function report(fixture: DispatchFixture, afterMs: number, percents: readonly number[]): void {
  fixture.step(afterMs);
  percents.forEach((percent, index) =>
    fixture.report(`r${index + 1}`, [{ ...runningTask(index), percent }]),
  );
}

function remaining(fixture: DispatchFixture, group: TaskGroup): number {
  return Math.round(remainingRunMs(group, fixture.dispatcher.state, fixture.now));
}

test('before its start and before a representative report the estimate counts', (t) => {
  const { fixture, group } = startedFixture();
  report(fixture, 1_000, [0, 0]);
  t.is(remaining(fixture, group), group.startedAt + declaredMs - fixture.now);
  report(fixture, 100, [15, 15]);
  t.is(remaining(fixture, group), group.startedAt + declaredMs - fixture.now);
});

// With the declared duration, a gang that is almost done would be stopped on a draining runner.
test('the slowest member determines the remaining time of a gang', (t) => {
  const { fixture, group } = startedFixture();
  report(fixture, group.startedAt + 2_000 - fixture.now, [80, 50]);
  // The fixture's clock advances by a millisecond with each report.
  t.true(Math.abs(remaining(fixture, group) - 2_000) < 5, `${remaining(fixture, group)}`);
  const later = remainingRunMs(group, fixture.dispatcher.state, fixture.now + 500);
  t.is(remaining(fixture, group) - Math.round(later), 500);
});

test('without reports, the remaining time grows once the estimate is outrun', (t) => {
  const { fixture, group } = startedFixture();
  const after = (ranMs: number): number =>
    remainingRunMs(group, fixture.dispatcher.state, group.startedAt + ranMs);
  t.is(after(declaredMs / 2), declaredMs / 2);
  t.is(Math.round(after(declaredMs)), 0.35 * declaredMs);
  t.is(after(2 * declaredMs), 2 * declaredMs);
  t.true(after(4 * declaredMs) > after(3 * declaredMs));
});

test('a run on slow runners is expected to take longer', (t) => {
  const { fixture, group } = startedFixture();
  fixture.dispatcher.state.runners.get('r2')?.speed.assign(0.5, 0);
  t.is(remainingRunMs(group, fixture.dispatcher.state, group.startedAt), 2 * declaredMs);
});

// A resumed task reports the progress of its earlier runs from the beginning.
test('progress of earlier runs is not ascribed to the current one', (t) => {
  const { fixture, group } = startedFixture();
  group.members.forEach((member) => {
    member.originPercent = 60;
    member.originAt = group.startedAt;
  });
  report(fixture, group.startedAt + 1_000 - fixture.now, [80, 80]);
  t.true(Math.abs(remaining(fixture, group) - 1_000) < 5, `${remaining(fixture, group)}`);
});
