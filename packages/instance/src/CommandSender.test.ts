import { CallKind, plainStep } from '@apricothoist/testing';
import test from 'ava';

import { VirtualDeployment } from './testing/VirtualDeployment.js';

/** Milliseconds that a start with a payload of 4.5 KB takes on a link of 2 Mbit/s. */
const startOnLinkMs = 18;
const runners = 60;
/** Milliseconds within which all starts fit through the link twice. */
const boundMs = 2_500;

// After a takeover hundreds of starts timed out on the link of a small holder, were repeated, and
// quarantined the runners.
test.serial('many starts over a slow link are sent once each', async (t) => {
  let linkFreeAt = 0;
  const calls = new Map<string, number>();
  using deployment = new VirtualDeployment({
    runners,
    durationMs: 10_000,
    decideFate: ({ kind, task = '', sentAt }) => {
      if (kind !== CallKind.start) {
        return { kind: 'delivered', latencyMs: 2 };
      }
      calls.set(task, (calls.get(task) ?? 0) + 1);
      linkFreeAt = Math.max(linkFreeAt, sentAt) + startOnLinkMs;
      return { kind: 'delivered', latencyMs: linkFreeAt - sentAt };
    },
  });
  for (let number = 1; number <= runners; number += 1) {
    deployment.submit(String(number).padStart(16, '0'), [plainStep]);
  }
  deployment.takeOver();
  await deployment.run(boundMs);
  t.is(calls.size, runners);
  t.deepEqual(
    [...calls].filter(([, count]) => count > 1),
    [],
  );
});
