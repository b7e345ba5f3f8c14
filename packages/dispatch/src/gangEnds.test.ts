import { DispatchFixture, endedTask, runningTask } from '@apricothoist/testing';
import test from 'ava';

import { RunEnd } from './TaskGroupLifecycle.js';

const idleIds = ['r3', 'r4'];

// Neither the end of another member nor the answer to its stop shows that a member has ended.
[RunEnd.failed, RunEnd.stopped, RunEnd.lapsed, RunEnd.broken, RunEnd.alone].forEach((end) => {
  test(`a gang starts again only once each member has ended: ${end}`, (t) => {
    const fixture = new DispatchFixture(undefined, undefined, ['r1', 'r2', ...idleIds]);
    idleIds.forEach((id) => fixture.report(id));
    fixture.start();
    const occupants = [...fixture.dispatcher.state.runners.values()].flatMap((runner) =>
      [...runner.occupants.values()].map(({ member }) => ({ id: runner.id, ...member })),
    );
    occupants.forEach(({ id, index }) => fixture.report(id, [runningTask(index)]));
    const [first, second] = occupants as [(typeof occupants)[0], (typeof occupants)[0]];
    fixture.report(first.id, [], [endedTask(1, first.index, end)]);
    const { starts, stops } = fixture.step(400);
    t.is(starts.length, 0);
    t.deepEqual(
      stops.map(({ task }) => task),
      [second.task],
    );
    fixture.dispatcher.recordStopResponse(second.id, 1, second.task, 1, fixture.now);
    fixture.report(second.id, [runningTask(second.index)]);
    t.is(fixture.step(400).starts.length, 0, 'its stop is confirmed');
    fixture.report(second.id, [], [endedTask(1, second.index, RunEnd.stopped)]);
    t.is(fixture.step(400).starts.length, 2);
  });
});
