import test from 'ava';

import { findOverlaps } from './testing/runChecks.js';
import { VirtualDeployment } from './testing/VirtualDeployment.js';

const jobId = '00000000000000aa';
/** Longer than an entry and a lease last. */
const durationMs = 11_000;
const heartbeatMs = 1_500;

/** Starts a task under a holder and drains its runner; returns the id of the runner. */
async function startDraining(deployment: VirtualDeployment): Promise<string> {
  deployment.submit(jobId, [{ declaredMs: durationMs }]);
  deployment.takeOver();
  await deployment.run(500);
  const { runnerId } = deployment.pool.records[0] as { runnerId: string };
  deployment.drainingRunners.add(runnerId);
  deployment.registry.write(runnerId);
  return runnerId;
}

/** Milliseconds of the cut, before the entry expires, at which something else happens. */
const moments = Array.from({ length: 15 }, (_, index) => index * 300);

function createDeployment(): VirtualDeployment {
  return new VirtualDeployment({ runners: 3, durationMs });
}

/** Lets a runner leave as announced. */
function leave(deployment: VirtualDeployment, runnerId: string): void {
  deployment.pool.get(runnerId).crash(deployment.now);
  deployment.refusingRunners.add(runnerId);
  deployment.registry.remove(runnerId);
}

// A task ran twice: its draining runner was cut off, its entry expired, and a holder that had taken
// over since took the runner for gone, because it had first seen a refused connection shortly before.
test.serial(
  'a successor holds no run on a draining runner that is cut off to have ended',
  async (t) => {
    for (const takeoverAfterMs of moments) {
      using deployment = createDeployment();
      const runnerId = await startDraining(deployment);
      deployment.refusingRunners.add(runnerId);
      await deployment.run(takeoverAfterMs);
      deployment.takeOver();
      await deployment.run(12_000);
      const title = `takeover ${takeoverAfterMs} ms after the cut`;
      t.deepEqual(findOverlaps(deployment.pool.records), [], title);
    }
  },
);

// The two paths to a runner may be cut one after the other.
test.serial('a holder of any age does not either, whenever connections are refused', async (t) => {
  for (const refusedAfterMs of moments) {
    using deployment = createDeployment();
    const runnerId = await startDraining(deployment);
    await deployment.run(refusedAfterMs);
    deployment.refusingRunners.add(runnerId);
    await deployment.run(12_000);
    const title = `connections refused ${refusedAfterMs} ms after the last write of the entry`;
    t.deepEqual(findOverlaps(deployment.pool.records), [], title);
  }
});

// Another writer may overwrite the entry of a runner that is cut off and works on.
test.serial('an unreadable entry ends no run', async (t) => {
  using deployment = createDeployment();
  const runnerId = await startDraining(deployment);
  await deployment.run(1_000);
  deployment.refusingRunners.add(runnerId);
  deployment.registry.unreadableIds.add(runnerId);
  await deployment.run(12_000);
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});

/** Milliseconds from the departure of a runner to the next start of its task. */
async function restartDelay(isTakenOver: boolean): Promise<number> {
  using deployment = createDeployment();
  const runnerId = await startDraining(deployment);
  await deployment.run(heartbeatMs);
  deployment.registry.write(runnerId);
  if (isTakenOver) {
    deployment.takeOver();
  }
  await deployment.run(heartbeatMs);
  deployment.registry.write(runnerId);
  await deployment.run(heartbeatMs - 100);
  const leftAt = deployment.now;
  leave(deployment, runnerId);
  await deployment.runUntil(() => deployment.pool.records.length > 1, 12_000);
  return (deployment.pool.records[1]?.startedAt ?? Infinity) - leftAt;
}

/** Longest time from the last extension of a lease on a draining runner to its certain end, and a round. */
const onceExpiredMs = 4_000 / 0.98 + 150 + 200;

// Its task waited for the longest lease, up to ten seconds, beside free runners.
test.serial(
  'a run on a runner that has left is started again once its short lease has expired',
  async (t) => {
    t.true((await restartDelay(false)) < onceExpiredMs, 'by the holder that started it');
    t.true((await restartDelay(true)) < onceExpiredMs, 'by a successor');
  },
);

// All tasks of a runner ran twice, started again in one round by the holder of their first runs: it
// had left the registry and refused connections, and worked on.
test.serial('work on a runner that has left the registry is not started beside it', async (t) => {
  for (const leftAfterMs of moments) {
    using deployment = createDeployment();
    const runnerId = await startDraining(deployment);
    await deployment.run(leftAfterMs);
    deployment.registry.write(runnerId);
    await deployment.run(100);
    deployment.refusingRunners.add(runnerId);
    deployment.registry.remove(runnerId);
    await deployment.run(12_000);
    t.deepEqual(findOverlaps(deployment.pool.records), [], `left after ${leftAfterMs} ms`);
  }
});
