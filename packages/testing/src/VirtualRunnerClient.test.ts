import { delay } from '@apricothoist/common';
import { StartOutcome } from '@apricothoist/dispatch';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';

import type { CallFate } from './CallFate.js';
import { listedRunner } from './DispatchFixture.js';
import { plainStep } from './replaySettings.js';
import type { TaskBehaviour } from './TaskBehaviour.js';
import { VirtualRunner } from './VirtualRunner.js';
import type { VirtualRunnerClientOptions } from './VirtualRunnerClient.js';
import { VirtualRunnerClient } from './VirtualRunnerClient.js';
import { VirtualRunnerPool } from './VirtualRunnerPool.js';

const entry = listedRunner('r1');
const command = {
  runnerId: 'r1',
  processStartedAt: 1,
  jobId: '00000000000000aa',
  task: '00000000000000aa.0.0.0',
  run: 1,
  payload: '',
  saved: '',
};
const report = { token: 1, acknowledgedEnd: 0, waitMs: 0 };

/** Plays `act` in virtual time, beside a client whose calls have the given fates in turn. */
async function play<T>(
  fates: readonly CallFate[],
  act: (
    client: VirtualRunnerClient<string>,
    runner: VirtualRunner,
    now: () => number,
  ) => Promise<T>,
  options: Partial<VirtualRunnerClientOptions<string>> = {},
  behaviour: Partial<TaskBehaviour> = {},
): Promise<{ result: T; startedAt: number[] }> {
  const timers = install({ now: 0, toFake: ['setTimeout', 'clearTimeout'] });
  const now = (): number => timers.now;
  const pool = new VirtualRunnerPool(1_000);
  const runner = new VirtualRunner(
    {
      entry,
      clockSlowness: 1,
      maxLeaseMs: 6_000,
      guardsCapacity: true,
      behaviourOf: () => ({
        size: plainStep.size,
        durationMs: 60_000,
        stopMs: 10,
        savesProgress: false,
        ...behaviour,
      }),
    },
    pool,
    0,
  );
  pool.add(runner);
  const remaining = [...fates];
  const client = new VirtualRunnerClient(pool, {
    clock: { monotonic: now, wall: now },
    now,
    maxLeaseMs: 6_000,
    decideFate: () => remaining.shift() ?? { kind: 'delivered', latencyMs: 1 },
    isCut: () => false,
    lateCallsOutliveProcess: false,
    createError: (kind) => kind,
    ...options,
  });
  try {
    const acted = act(client, runner, now);
    await timers.tickAsync(20_000);
    const startedAt = pool.records.map((record) => record.startedAt);
    return { result: await acted, startedAt };
  } finally {
    timers.uninstall();
  }
}

/** Reads the clock of the runner first, as a start needs it for its deadline. */
async function startAfterReport(
  client: VirtualRunnerClient<string>,
  now: () => number,
): Promise<[outcome: StartOutcome, tookMs: number]> {
  await client.report(entry, report, now() + 100);
  const sentAt = now();
  const outcome = await client.start(
    entry,
    command,
    { token: 1, leaseUntil: Infinity },
    sentAt + 250,
  );
  return [outcome, now() - sentAt];
}

const delivered: CallFate = { kind: 'delivered', latencyMs: 1 };

test.serial('a delivered call takes its latency both ways', async (t) => {
  const played = await play([], async (client, _runner, now) => startAfterReport(client, now));
  t.deepEqual(played, { result: [StartOutcome.started, 2], startedAt: [3] });
});

test.serial('a dropped call is never executed', async (t) => {
  const played = await play([delivered, { kind: 'dropped' }], async (client, _runner, now) =>
    startAfterReport(client, now),
  );
  t.deepEqual(played, { result: [StartOutcome.unknown, 250], startedAt: [] });
});

test.serial('a call whose answer is lost is executed', async (t) => {
  const played = await play(
    [delivered, { kind: 'answerLost', latencyMs: 1 }],
    async (client, _runner, now) => startAfterReport(client, now),
  );
  t.deepEqual(played, { result: [StartOutcome.unknown, 250], startedAt: [3] });
});

test.serial('a start whose runner crashes before its answer is not answered', async (t) => {
  const played = await play(
    [delivered, { kind: 'delivered', latencyMs: 3 }],
    async (client, _runner, now) => startAfterReport(client, now),
    {},
    { crashesAfterMs: 1 },
  );
  t.deepEqual(played, { result: [StartOutcome.unknown, 250], startedAt: [5] });
});

test.serial('a late call is executed after its caller has given up', async (t) => {
  const played = await play(
    [delivered, { kind: 'late', lateMs: 3_000 }],
    async (client, _runner, now) => startAfterReport(client, now),
  );
  t.deepEqual(played, { result: [StartOutcome.unknown, 250], startedAt: [3_002] });
});

test.serial('a refused call has no effect', async (t) => {
  const played = await play(
    [delivered, { kind: 'refused', outcome: StartOutcome.unhealthy, latencyMs: 5 }],
    async (client, _runner, now) => startAfterReport(client, now),
  );
  t.deepEqual(played, { result: [StartOutcome.unhealthy, 5], startedAt: [] });
});

[false, true].forEach((lateCallsOutliveProcess) => {
  const verb = lateCallsOutliveProcess ? 'may outlive' : 'does not outlive';
  test.serial(`a late call ${verb} the process it was sent to, as chosen`, async (t) => {
    const played = await play(
      [delivered, { kind: 'late', lateMs: 3_000 }],
      async (client, runner, now) => {
        await startAfterReport(client, now);
        runner.crash(now());
        runner.restart(now(), now());
      },
      { lateCallsOutliveProcess },
    );
    t.deepEqual(played.startedAt, lateCallsOutliveProcess ? [3_002] : []);
  });
});

test.serial('a report waits for an end, and is lost with its process', async (t) => {
  const played = await play([], async (client, runner, now) => {
    await startAfterReport(client, now);
    const stopLater = delay(500).then(() => client.stop(entry, command, 1, now() + 100));
    const first = await client.report(entry, { ...report, waitMs: 1_000 }, now() + 1_600);
    await stopLater;
    const answeredAt = now();
    const lost = client.report(
      entry,
      { ...report, acknowledgedEnd: 1, waitMs: 1_000 },
      now() + 1_600,
    );
    await delay(100);
    runner.crash(now());
    runner.restart(now(), now());
    const isLost = (await lost).isErr();
    return { ends: first.map(({ ended }) => ended.length).unwrapOr(0), answeredAt, isLost };
  });
  t.is(played.result.ends, 1);
  t.true(played.result.answeredAt < 600, 'answered long before the wait is over');
  t.true(played.result.isLost);
});
