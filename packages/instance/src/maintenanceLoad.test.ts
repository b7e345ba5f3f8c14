import { SystemClock } from '@apricothoist/common';
import { RunCounters } from '@apricothoist/dispatch';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import test from 'ava';
import { err, ok } from 'neverthrow';

import { FakeMachines, maintenanceMs } from './testing/FakeMachines.js';
import { VirtualDeployment } from './testing/VirtualDeployment.js';
import type { WaveRequest } from './WaveRequests.js';
import { UnreadableRecords } from './UnreadableRecords.js';
import { WaveRequests } from './WaveRequests.js';

const names = ['m1', 'm2', 'm3'];

// A machine was taken down while tasks ran there, so that their unsaved progress was lost.
test.serial('a wave on occupied machines destroys no run, also across a takeover', async (t) => {
  const time = { now: () => 0 };
  const machines = new FakeMachines(names, () => time.now());
  const requests = new WaveRequests(
    'wave/',
    (value) => ok(JSON.parse(value) as WaveRequest),
    () => undefined,
  );
  const platform = {
    machines,
    decodeRequest: () => err(new Error('not used')),
    statusOf: (wave: string, isCompleted: boolean) => ({
      key: `status/${wave}`,
      value: String(isCompleted),
    }),
    maintenanceMs,
    callTimeoutMs: 1_000,
    holderTurnMs: 0,
    callsPerS: 60,
  };
  const log = new EventLog('test', LogLevel.error, LogFormat.text, new SystemClock());
  const unreadable = new UnreadableRecords(log, new RunCounters());
  const maintenance = { platform, requests, requestPrefix: 'wave/', instance: 'i', unreadable };
  using deployment = new VirtualDeployment({ runners: 3, durationMs: 2_500, maintenance });
  time.now = () => deployment.now;
  machines.takeDown = (machine) => deployment.restart(machine.replace('m', 'r'), maintenanceMs);
  deployment.takeOver();
  await deployment.run(500);
  ['a', 'b', 'c', 'd'].forEach((id) =>
    deployment.submit(`00000000000000${id}1`, [
      { count: 6, size: { cpu: 1_000, memoryMb: 1_000, accelerators: 2 }, savesProgress: id < 'c' },
    ]),
  );
  await deployment.run(1_000);
  const value = JSON.stringify({ machines: names, durationMs: 30_000, maxCount: 1 });
  const revision = deployment.store.put('wave/1', value);
  const items = [{ key: 'wave/1', value, revision }];
  requests.apply({ items, revision, requestedAt: deployment.now, isComplete: false });
  await deployment.run(4_000);
  deployment.takeOver();
  t.true(await deployment.runUntil(() => machines.done.length === names.length, 30_000));
  t.true(await deployment.runUntilCompleted(30_000));
  t.is(machines.maxDown, 1);
  t.true(deployment.pool.records.every(({ end }) => end !== undefined));
  t.is((await readStatus(deployment))?.value, 'true');
  t.deepEqual(deployment.resignations, []);
});

async function readStatus(deployment: VirtualDeployment): Promise<{ value?: string } | undefined> {
  await deployment.run(4_000);
  const read = deployment.store.read('status/1');
  await deployment.run(100);
  return (await read).unwrapOr(undefined);
}
