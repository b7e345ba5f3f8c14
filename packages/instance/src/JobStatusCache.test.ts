import { ManualClock } from '@apricothoist/testing';
import { JobState } from '@apricothoist/dispatch';
import test from 'ava';

import type { FeedUpdate } from './JobStatusCache.js';
import { JobStatusCache } from './JobStatusCache.js';

type States = FeedUpdate['states'];

/** Largest snapshot in jobs, whatever the number of ended ones. */
const openJobs = 10;
const endedJobs = 8_000;

function update(isWhole: boolean, states: States, forgotten: readonly string[] = []): FeedUpdate {
  return { isWhole, states, forgotten, queues: [], strongestCores: 1 };
}

function jobsOf(state: JobState, count: number): States {
  return Array.from({ length: count }, (_, index) => [`${state}-${index}`, state]);
}

// Snapshots of all jobs to 96 followers took longer than these wait for one.
test('a snapshot for a new follower does not grow with the ended jobs', (t) => {
  const cache = new JobStatusCache(new ManualClock());
  cache.apply(update(true, jobsOf(JobState.running, openJobs)));
  cache.apply(update(false, jobsOf(JobState.completed, endedJobs)));
  t.is(cache.snapshot().states.length, openJobs);
  t.is(cache.stateOf('completed-0'), JobState.completed);
});

test('a final state stays known after the snapshot of another scheduling instance', (t) => {
  const cache = new JobStatusCache(new ManualClock());
  cache.apply(
    update(true, [
      ['one', JobState.completed],
      ['two', JobState.running],
    ]),
  );
  cache.apply(update(true, [['three', JobState.queued]]));
  t.is(cache.stateOf('one'), JobState.completed);
  t.is(cache.stateOf('two'), undefined, 'it may have ended meanwhile');
  t.is(cache.stateOf('three'), JobState.queued);
});

test('a job that ends leaves the snapshot, and a deleted one is unknown', (t) => {
  const cache = new JobStatusCache(new ManualClock());
  cache.apply(update(true, [['one', JobState.running]]));
  cache.apply(update(false, [['one', JobState.failed]]));
  t.deepEqual(cache.snapshot().states, []);
  t.is(cache.stateOf('one'), JobState.failed);
  cache.apply(update(false, [], ['one']));
  t.is(cache.stateOf('one'), undefined);
});

test('the number of ended jobs whose state is kept is bounded', (t) => {
  const cache = new JobStatusCache(new ManualClock());
  cache.apply(update(false, jobsOf(JobState.completed, 25_000)));
  t.is(cache.size, 20_000);
  t.is(cache.stateOf('completed-0'), undefined);
  t.is(cache.stateOf('completed-24999'), JobState.completed);
});
