import { JobState } from '@apricothoist/dispatch';
import test from 'ava';

import { BoardNews } from './BoardNews.js';

const outlook = { pending: 1, backlogMs: 1_020, durationMs: 900.4, largestRunner: 8 };
const describe = (): Map<string, typeof outlook> => new Map([['queue', outlook]]);

/** Frames for followers during one second in which a job changes every five milliseconds. */
function countFrames(news: BoardNews): number {
  let frames = 0;
  for (let now = 0; now < 1_000; now += 5) {
    news.noteStates([[`job-${now}`, JobState.running]]);
    frames += news.take(now, describe) === undefined ? 0 : 1;
  }
  return frames;
}

test('many changes a second: followers hear of them in ten frames', (t) => {
  t.true(countFrames(new BoardNews()) <= 10);
});

test('no change is lost between two updates', (t) => {
  const news = new BoardNews();
  t.deepEqual(news.take(0, describe)?.states, []);
  news.noteStates([['a', JobState.queued]]);
  t.is(news.take(50, describe), undefined);
  news.noteStates([
    ['a', JobState.running],
    ['b', JobState.queued],
  ]);
  news.noteForgotten(['c']);
  const update = news.take(100, describe);
  t.deepEqual(update?.states, [
    ['a', JobState.running],
    ['b', JobState.queued],
  ]);
  t.deepEqual(update?.forgotten, ['c']);
});

test('an outlook that hardly changed is not sent again', (t) => {
  const news = new BoardNews();
  t.is(news.take(0, describe)?.queues.length, 1);
  t.is(
    news.take(500, () => new Map([['queue', { ...outlook, backlogMs: 980 }]]))?.queues.length,
    0,
  );
  t.is(news.take(1_000, () => new Map([['queue', { ...outlook, pending: 2 }]]))?.queues.length, 1);
});

test('without changes followers still hear twice a second that the instance lives', (t) => {
  const news = new BoardNews();
  news.take(0, describe);
  t.is(news.take(499, describe), undefined);
  t.deepEqual(news.take(500, describe)?.states, []);
});
