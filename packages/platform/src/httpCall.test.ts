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
      await delay(20);
    }
  });
  const url = `http://127.0.0.1:${await server.listen()}/`;
  const clock = new SystemClock();
  const deadline = clock.monotonic() + 200;
  const extension = { idleTimeoutMs: 60_000, finalDeadline: deadline + 300 };
  const result = await httpCall({ method: 'GET', url, agent: false, deadline, extension }, clock);
  isOpen = false;
  t.is(result._unsafeUnwrapErr().kind, HttpErrorKind.incomplete);
  t.true(clock.monotonic() >= extension.finalDeadline - 1);
});
