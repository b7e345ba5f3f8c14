import { JobState } from '@apricothoist/dispatch';
import { ManualClock } from '@apricothoist/testing';
import test from 'ava';
import { pack } from 'msgpackr';

import { FeedUpdateBuffer } from './FeedUpdateBuffer.js';
import { JobStatusCache } from './JobStatusCache.js';

const queueStatus = { pending: 1, backlogMs: 1_020, durationMs: 900.4, largestRunner: 8 };
const describe = (): Map<string, typeof queueStatus> => new Map([['queue', queueStatus]]);

/** Bytes sent to each follower in ten seconds of a backlog that grows by 90 ms in 100 ms. */
function countBytes(queues: number): number {
  const buffer = new FeedUpdateBuffer();
  const describeAll = (backlogMs: number) =>
    new Map(
      Array.from({ length: queues }, (_, index) => [
        `queue-${index}`,
        { ...queueStatus, pending: 0, backlogMs },
      ]),
    );
  buffer.takeDue(0, () => describeAll(0));
  let bytes = 0;
  for (let now = 100; now <= 10_000; now += 100) {
    buffer.recordStates([['job', JobState.running]]);
    const update = buffer.takeDue(now, () => describeAll(now * 0.9));
    bytes += update === undefined ? 0 : pack({ ...update, strongestCores: 8 }).length;
  }
  return bytes;
}

/** Counts the frames of one second in which a job changes every five milliseconds. */
function countFrames(buffer: FeedUpdateBuffer): number {
  let frames = 0;
  for (let now = 0; now < 1_000; now += 5) {
    buffer.recordStates([[`job-${now}`, JobState.running]]);
    frames += buffer.takeDue(now, describe) === undefined ? 0 : 1;
  }
  return frames;
}

test('many changes per second are sent in at most ten frames', (t) => {
  t.true(countFrames(new FeedUpdateBuffer()) <= 10);
});

test('no change is lost between two updates', (t) => {
  const buffer = new FeedUpdateBuffer();
  t.deepEqual(buffer.takeDue(0, describe)?.states, []);
  buffer.recordStates([['a', JobState.queued]]);
  t.is(buffer.takeDue(50, describe), undefined);
  buffer.recordStates([
    ['a', JobState.running],
    ['b', JobState.queued],
  ]);
  buffer.recordDeleted(['c']);
  const update = buffer.takeDue(100, describe);
  t.deepEqual(update?.states, [
    ['a', JobState.running],
    ['b', JobState.queued],
  ]);
  t.deepEqual(update?.forgotten, ['c']);
});

test('a queue status with an insignificant change is not sent again', (t) => {
  const buffer = new FeedUpdateBuffer();
  t.is(buffer.takeDue(0, describe)?.queues.length, 1);
  t.is(
    buffer.takeDue(500, () => new Map([['queue', { ...queueStatus, backlogMs: 980 }]]))?.queues
      .length,
    0,
  );
  t.is(
    buffer.takeDue(1_000, () => new Map([['queue', { ...queueStatus, pending: 2 }]]))?.queues
      .length,
    1,
  );
});

// Guards against a feed that takes the link of the holder and of its followers as routes are added.
test('a change of the backlog is not sent again for each queue', (t) => {
  const few = countBytes(40);
  const many = countBytes(4_000);
  t.log(`40 queues: ${few} bytes, 4,000 queues: ${many} bytes`);
  t.true(many < 2 * few);
});

test('without changes an update is still sent twice a second as a heartbeat', (t) => {
  const buffer = new FeedUpdateBuffer();
  buffer.takeDue(0, describe);
  t.is(buffer.takeDue(499, describe), undefined);
  t.deepEqual(buffer.takeDue(500, describe)?.states, []);
});

// The status of each route went to each follower three times a second, 1 MB a second with 4,000.
test('the status of queues without work is not sent', (t) => {
  const buffer = new FeedUpdateBuffer();
  const routes = Array.from({ length: 4_000 }, (_, index) => `queue-${index}`);
  const idle = { pending: 0, backlogMs: 0, durationMs: 0, largestRunner: 8 };
  for (let now = 0; now < 3_000; now += 300) {
    const backlogMs = now;
    const statuses = new Map(routes.map((queue) => [queue, { ...idle, backlogMs }]));
    statuses.set('queue', { ...queueStatus, backlogMs });
    buffer.recordStates([[`job-${now}`, JobState.running]]);
    const update = buffer.takeDue(now, () => statuses);
    t.deepEqual(
      update?.queues.map(([queue]) => queue),
      now === 0 ? ['queue'] : [],
    );
    t.deepEqual(update?.backlogs, [[0, backlogMs]]);
    t.is(update?.largestRunner, 8);
  }
});

test('a queue whose last job has started is sent once more', (t) => {
  const buffer = new FeedUpdateBuffer();
  const idle = { pending: 0, backlogMs: 0, durationMs: 0, largestRunner: 8 };
  buffer.takeDue(0, describe);
  t.is(buffer.takeDue(500, () => new Map([['queue', idle]]))?.queues[0]?.[1].pending, 0);
  t.deepEqual(buffer.takeDue(1_000, () => new Map([['queue', idle]]))?.queues, []);
});

test('a task that fits on no runner is refused in a queue without a status', (t) => {
  const statusCache = new JobStatusCache(new ManualClock());
  const update = { isWhole: true, states: [], forgotten: [], queues: [], strongestCores: 0 };
  t.is(statusCache.queueStatusOf('queue')?.largestRunner, undefined);
  statusCache.apply({ ...update, largestRunner: 8 });
  t.is(statusCache.queueStatusOf('queue')?.largestRunner, 8);
  t.is(statusCache.queueStatusOf('queue')?.pending, 0);
});

test('the backlog of a priority holds for all of its queues', (t) => {
  const statusCache = new JobStatusCache(new ManualClock());
  const update = { isWhole: true, states: [], forgotten: [], strongestCores: 0 };
  const statusOf = (priority: number) => ({ ...queueStatus, priority });
  statusCache.apply({
    ...update,
    queues: [
      ['first', statusOf(0)],
      ['second', statusOf(1)],
    ],
  });
  statusCache.apply({ ...update, isWhole: false, queues: [], backlogs: [[1, 9_000]] });
  t.is(statusCache.queueStatusOf('first')?.backlogMs, queueStatus.backlogMs);
  t.is(statusCache.queueStatusOf('second')?.backlogMs, 9_000);
  t.deepEqual(statusCache.snapshot().backlogs, [[1, 9_000]]);
});
