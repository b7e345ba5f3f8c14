import { delay, SystemClock } from '@apricothoist/common';
import { LoopbackServer } from '@apricothoist/testing';
import test from 'ava';

import { httpCall, HttpErrorKind } from './httpCall.js';

test('a response that never ends is received until the final deadline only', async (t) => {
  let isOpen = true;
  await using server = new LoopbackServer(async (_request, response) => {
    response.writeHead(200);
    while (isOpen) {
      response.write('.');
      await delay(1);
    }
  });
  const url = `http://127.0.0.1:${await server.listen()}/`;
  const clock = new SystemClock();
  // A busy process receives a part in each turn of its loop.
  const work = setInterval(() => {
    const until = clock.monotonic() + 20;
    while (clock.monotonic() < until);
  }, 0);
  const deadline = clock.monotonic() + 200;
  const extension = { idleTimeoutMs: 60_000, finalDeadline: deadline + 300 };
  const result = await httpCall({ method: 'GET', url, agent: false, deadline, extension }, clock);
  isOpen = false;
  clearInterval(work);
  t.is(result._unsafeUnwrapErr().kind, HttpErrorKind.incomplete);
  t.true(clock.monotonic() >= extension.finalDeadline - 1);
  t.true(clock.monotonic() < extension.finalDeadline + 2_000, 'long before the idle timeout');
});

// An address that is none threw, and whoever called it ended.
test('a call that cannot be sent results in an error', async (t) => {
  const clock = new SystemClock();
  const call = { method: 'GET', agent: false, deadline: clock.monotonic() + 200 } as const;
  const calls = [
    ...['http://127.0.0.1:65536/', 'http://999.1.1.1:80/', 'http://1.2.3.4.5:80/', ''].map(
      (url) => ({ ...call, url }),
    ),
    { ...call, url: 'http://127.0.0.1:1/', headers: { 'x-name': 'a\nb' } },
  ];
  const results = await Promise.all(calls.map((each) => httpCall(each, clock)));
  t.deepEqual(
    results.map((result) => result._unsafeUnwrapErr().kind),
    calls.map(() => HttpErrorKind.invalid),
  );
});
