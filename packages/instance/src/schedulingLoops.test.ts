import { CallKind } from '@apricothoist/testing';
import test from 'ava';

import { findOverlaps } from './testing/runChecks.js';
import { delivered, VirtualDeployment } from './testing/VirtualDeployment.js';

const jobId = '00000000000000aa';
const durationMs = 4_000;

// The link of a runner ended for good: a job was running for ever though its runner had reported its end.
test.serial('a call that throws does not end the link of its runner', async (t) => {
  for (const kind of [CallKind.report, CallKind.start]) {
    let isThrowing = false;
    using deployment = new VirtualDeployment({
      runners: 1,
      durationMs,
      decideFate: (call) => {
        if (isThrowing && call.kind === kind) {
          throw new Error('Invalid URL');
        }
        return delivered;
      },
    });
    deployment.submit(jobId, [{ declaredMs: durationMs }]);
    isThrowing = kind === CallKind.start;
    deployment.takeOver();
    await deployment.run(500);
    isThrowing = true;
    await deployment.run(2_000);
    isThrowing = false;
    t.true(await deployment.runUntilCompleted(durationMs + 8_000), kind);
    t.deepEqual(findOverlaps(deployment.pool.records), [], kind);
    t.is(deployment.pool.records.length, 1, `${kind}: the lease outlasts the fault`);
  }
});

// A listing that threw was the last one of the term: no runner that came later was used.
test.serial('a listing that throws does not end the listings', async (t) => {
  using deployment = new VirtualDeployment({ runners: 1, durationMs });
  deployment.unlistedRunners.add('r1');
  deployment.takeOver();
  await deployment.run(500);
  const { registry } = deployment;
  const contains = registry.contains.bind(registry);
  registry.contains = () => {
    throw new Error('unreadable');
  };
  deployment.unlistedRunners.clear();
  await deployment.run(2_000);
  registry.contains = contains;
  deployment.submit(jobId, [{ declaredMs: durationMs }]);
  t.true(await deployment.runUntilCompleted(durationMs + 2_000));
});
