import test from 'ava';

import { RevisionTimes } from './RevisionTimes.js';

test('a change is dated by the latest request whose answer gave a lower revision', (t) => {
  const times = new RevisionTimes();
  t.is(times.findTimeBefore(5), undefined);
  times.record(10, 1_000);
  times.record(20, 2_000);
  t.is(times.findTimeBefore(10), undefined, 'made before the first request, perhaps');
  t.is(times.findTimeBefore(11), 1_000);
  t.is(times.findTimeBefore(20), 1_000);
  t.is(times.findTimeBefore(21), 2_000);
});

// A change that is dated too late makes an expired entry look like a removed one.
test('no answer dates a change later than it may have been made', (t) => {
  const times = new RevisionTimes();
  times.record(20, 2_000);
  times.record(30, 1_000);
  times.record(0, 5_000);
  t.is(times.findTimeBefore(25), 2_000, 'an earlier request whose answer came later');
  t.is(times.findTimeBefore(10), undefined, 'an answer without a revision');
  times.record(15, 3_000);
  t.is(times.findTimeBefore(18), 3_000, 'an answer to a later request with a lower revision');
  times.record(40, 60_000);
  t.is(times.findTimeBefore(18), undefined, 'forgotten');
});
