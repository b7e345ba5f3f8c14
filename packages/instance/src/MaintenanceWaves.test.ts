import { RunCounters } from '@apricothoist/dispatch';
import { DispatchFixture, VirtualCoordinationStore } from '@apricothoist/testing';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok } from 'neverthrow';

import type { CoordinationStore } from './CoordinationStore.js';
import { CoordinationError } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import type { MaintenanceOutcome } from './MachineClient.js';
import { MaintenanceWaves } from './MaintenanceWaves.js';
import { FakeMachines, maintenanceMs } from './testing/FakeMachines.js';
import { UnreadableRecords } from './UnreadableRecords.js';
import type { WaveRequest } from './WaveRequests.js';
import { WaveRequests } from './WaveRequests.js';

const all = ['m1', 'm2', 'm3', 'm4'];
const stepMs = 50;
const afterTestMs = 1_000_000;

/** Terms of holders that carry out waves on four idle machines, in virtual time. */
class Waves implements Disposable {
  private readonly timers = install({
    now: 1_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'Date'],
  });

  public readonly machines = new FakeMachines(all);

  public readonly store = new VirtualCoordinationStore();

  public readonly requests = new WaveRequests(
    'wave/',
    (value) => ok(JSON.parse(value) as WaveRequest),
    () => undefined,
  );

  public readonly errors: unknown[] = [];

  /** Whether writes of the present holder are lost. */
  public isStoreCut = false;

  private term: MaintenanceWaves | undefined;

  public constructor() {
    this.takeOver();
  }

  /** Starts the next term; the former holder has ended. */
  public takeOver(): void {
    this.term?.[Symbol.dispose]();
    this.isStoreCut = false;
    const token = this.store.put(StoreKeys.holder, '{}');
    const clock = { monotonic: () => Date.now(), wall: () => Date.now() };
    const platform = {
      machines: this.machines,
      decodeRequest: () => err(new Error('not used')),
      statusOf: (wave: string, isCompleted: boolean) => ({
        key: `status/${wave}`,
        value: isCompleted ? 'completed' : 'running',
      }),
      maintenanceMs,
      callTimeoutMs: 1_000,
      holderTurnMs: 0,
      callsPerS: 60,
    };
    const store = Object.create(this.store) as CoordinationStore;
    store.commit = async (transaction) =>
      this.isStoreCut
        ? err(new CoordinationError('unanswered', 'no response'))
        : this.store.commit(transaction);
    const log = new EventLog('test', LogLevel.error, LogFormat.text, clock);
    const unreadable = new UnreadableRecords(log, new RunCounters());
    const { requests } = this;
    this.term = new MaintenanceWaves(
      { platform, requests, requestPrefix: 'wave/', instance: `i${token}`, unreadable },
      store,
      new DispatchFixture([], undefined, []).dispatcher.maintenance,
      clock,
      log,
      token,
      () => true,
      (error) => this.errors.push(error),
    );
  }

  /** Writes the request of a wave, or deletes it. */
  public request(wave: string, change: Partial<WaveRequest> | undefined): void {
    const key = `wave/${wave}`;
    const content = { machines: all, durationMs: 60_000, maxCount: 1, ...change };
    const value = JSON.stringify(content);
    const revision = this.store.put(key, value);
    const item = change === undefined ? { key, revision } : { key, revision, value };
    this.requests.apply({ items: [item], revision, requestedAt: Date.now(), isComplete: false });
  }

  public async run(milliseconds: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += stepMs) {
      this.term?.step();
      await this.timers.tickAsync(stepMs);
    }
  }

  public async status(wave: string): Promise<string | undefined> {
    const read = this.store.read(`status/${wave}`);
    await this.timers.tickAsync(stepMs);
    return (await read).unwrapOr(undefined)?.value;
  }

  public [Symbol.dispose](): void {
    this.term?.[Symbol.dispose]();
    this.timers.uninstall();
  }
}

test.serial('a wave is completed within its limit; without a wave nothing is called', async (t) => {
  using waves = new Waves();
  await waves.run(3_000);
  t.is(waves.machines.lists, 0);
  waves.request('1', { maxCount: 2 });
  await waves.run(1_000);
  t.is(await waves.status('1'), 'running');
  await waves.run(10_000);
  t.is(await waves.status('1'), 'completed');
  t.is(waves.machines.done.length, all.length);
  t.is(waves.machines.maxDown, 2);
  const { lists } = waves.machines;
  await waves.run(3_000);
  t.is(waves.machines.lists, lists);
  t.deepEqual(waves.errors, []);
});

// A successor that knew only stored results took the next machine down beside the called one: the
// former call is executed when the successor has listed the machines and before its own call.
test.serial('a holder dies between a call and its record', async (t) => {
  using waves = new Waves();
  const { machines } = waves;
  waves.request('1', {});
  machines.lateMs = () => {
    waves.isStoreCut = true;
    return afterTestMs;
  };
  await waves.run(500);
  const [former] = machines.calls;
  t.is(machines.calls.length, 1);
  waves.takeOver();
  waves.request('1', { machines: [...all].reverse() });
  machines.lateMs = () => undefined;
  machines.answer = () => {
    machines.execute(former?.machine ?? '', '1', former?.token ?? 0);
    return undefined;
  };
  await waves.run(20_000);
  t.is(await waves.status('1'), 'completed');
  t.is(machines.maxDown, 1);
  t.is(machines.done.length, all.length);
  t.is(new Set(machines.calls.map(({ token }) => token)).size, 2);
});

test.serial('a call without a response that is executed later counts as down', async (t) => {
  using waves = new Waves();
  waves.request('1', {});
  let lost = 2;
  waves.machines.lateMs = () => {
    lost -= 1;
    return lost >= 0 ? 2_500 : undefined;
  };
  await waves.run(25_000);
  t.is(await waves.status('1'), 'completed');
  t.is(waves.machines.maxDown, 1);
  t.is(waves.machines.done.length, all.length);
});

// The refusal of a repeated call freed the place, and the first call took its machine down later.
test.serial('a refusal after a call without a response proves nothing', async (t) => {
  using waves = new Waves();
  const { machines } = waves;
  waves.request('1', {});
  machines.lateMs = () => (machines.calls.length === 1 ? 4_000 : undefined);
  machines.answer = (machine) =>
    machine === machines.calls[0]?.machine && machines.done.length === 0 ? 'busy' : undefined;
  await waves.run(4_000);
  t.is(new Set(machines.calls.map(({ machine }) => machine)).size, 1);
  await waves.run(20_000);
  t.is(await waves.status('1'), 'completed');
  t.is(machines.maxDown, 1);
});

(['refused', 'busy', 'unknownMachine', 'unknown'] as const).forEach((outcome) => {
  test.serial(`calls that end as ${outcome} for 5 s are repeated later`, async (t) => {
    using waves = new Waves();
    waves.request('1', {});
    waves.machines.answer = (): MaintenanceOutcome => outcome;
    await waves.run(5_000);
    t.is(waves.machines.done.length, 0);
    t.true(waves.machines.calls.length <= 20, 'back-off');
    waves.machines.answer = () => undefined;
    await waves.run(20_000);
    t.is(await waves.status('1'), 'completed');
    t.is(waves.machines.maxDown, 1);
  });
});

test.serial('an interface that is silent for 10 s delays the wave', async (t) => {
  using waves = new Waves();
  waves.request('1', {});
  await waves.run(1_000);
  waves.machines.isSilent = true;
  await waves.run(10_000);
  t.true(waves.machines.lists < 14, 'back-off');
  waves.machines.isSilent = false;
  await waves.run(20_000);
  t.is(await waves.status('1'), 'completed');
  t.is(waves.machines.maxDown, 1);
});

test.serial('nothing is called after the interface has seen a newer token', async (t) => {
  using waves = new Waves();
  waves.request('1', {});
  waves.machines.answer = () => 'fenced';
  await waves.run(5_000);
  t.is(waves.machines.calls.length, 1);
  t.is(waves.machines.lists, 1);
  waves.machines.answer = () => undefined;
  waves.takeOver();
  await waves.run(20_000);
  t.is(await waves.status('1'), 'completed');
});

test.serial('machines outside the wave, unknown or vanished do not hold it back', async (t) => {
  using waves = new Waves();
  waves.request('1', { machines: [...all, 'm9'] });
  waves.machines.answer = (machine) => (machine === 'm1' ? 'notInWave' : undefined);
  waves.machines.lateMs = (machine) => {
    if (machine === 'm2') {
      waves.machines.runners.delete(machine);
      waves.machines.lateMs = () => undefined;
      return 100;
    }
    return undefined;
  };
  await waves.run(20_000);
  t.is(await waves.status('1'), 'completed');
  t.deepEqual([...waves.machines.done].sort(), ['1 m3', '1 m4']);
  t.is(waves.machines.calls.filter(({ machine }) => machine === 'm1').length, 1);
  t.false(waves.machines.calls.some(({ machine }) => machine === 'm9'));
});

test.serial('a wave that the operator deletes or changes midway', async (t) => {
  using waves = new Waves();
  waves.request('1', { machines: ['m1', 'm2'] });
  await waves.run(1_000);
  waves.request('1', undefined);
  const { length } = waves.machines.calls;
  const { lists } = waves.machines;
  await waves.run(5_000);
  t.is(waves.machines.calls.length, length);
  t.true(waves.machines.lists <= lists + 1);
  waves.request('2', { machines: ['m3'] });
  await waves.run(4_000);
  t.is(await waves.status('2'), 'completed');
  waves.request('2', { machines: ['m3', 'm4'] });
  await waves.run(200);
  t.is(await waves.status('2'), 'running');
  await waves.run(5_000);
  t.is(await waves.status('2'), 'completed');
  t.is(waves.machines.done.filter((name) => name.startsWith('2')).length, 2);
});

test.serial('two waves at once that share a machine', async (t) => {
  using waves = new Waves();
  waves.request('1', { machines: ['m1', 'm2'] });
  waves.request('2', { machines: ['m2', 'm3'] });
  await waves.run(20_000);
  t.is(await waves.status('1'), 'completed');
  t.is(await waves.status('2'), 'completed');
  t.is(waves.machines.done.length, 4);
  const calls = waves.machines.calls.filter(({ machine }) => machine === 'm2');
  t.true(Math.abs((calls[0]?.at ?? 0) - (calls[1]?.at ?? 0)) >= maintenanceMs);
});

test.serial('a successor in the middle of a wave finishes it within its limit', async (t) => {
  using waves = new Waves();
  waves.request('1', { maxCount: 2 });
  for (let term = 0; term < 6; term += 1) {
    await waves.run(700);
    waves.takeOver();
  }
  await waves.run(10_000);
  t.is(await waves.status('1'), 'completed');
  t.is(waves.machines.maxDown, 2);
  t.is(waves.machines.done.length, all.length);
});

// A wave was shown as completed, and never continued, after one list that lacked its last machine.
test.serial('lists that lack a machine for a second do not complete its wave', async (t) => {
  using waves = new Waves();
  waves.machines.unlisted.add('m4');
  waves.request('1', { machines: ['m4'] });
  await waves.run(1_000);
  t.is(await waves.status('1'), 'running');
  waves.machines.unlisted.clear();
  await waves.run(5_000);
  t.deepEqual(waves.machines.done, ['1 m4']);
  t.is(await waves.status('1'), 'completed');
});

// A second machine was taken down beside the first, which was down and not listed.
test.serial('a machine that is down when a list lacks it keeps its place', async (t) => {
  using waves = new Waves();
  waves.request('1', {});
  await waves.run(600);
  const [first = ''] = waves.machines.done.map((name) => name.slice('1 '.length));
  waves.takeOver();
  waves.machines.unlisted.add(first);
  await waves.run(1_000);
  waves.machines.unlisted.clear();
  await waves.run(20_000);
  t.is(waves.machines.maxDown, 1);
  t.is(await waves.status('1'), 'completed');
});

// One record held up all waves. The machines that it says were called are not known.
test.serial('a wave whose record cannot be read rests alone until it can be', async (t) => {
  const key = StoreKeys.maintenance('1');
  for (const odd of ['null', '{}', '['.repeat(200_000), '{"revision":1,"called":5}']) {
    using waves = new Waves();
    waves.store.put(key, odd);
    waves.request('1', { machines: ['m1'] });
    waves.request('2', { machines: ['m2'] });
    await waves.run(4_000);
    t.deepEqual(waves.machines.done, ['2 m2'], odd.slice(0, 40));
    t.is(await waves.status('2'), 'completed');
    const record = { revision: 0, deadline: 0, called: [], begun: [], refused: [] };
    waves.store.put(key, JSON.stringify({ ...record, isCompleted: false }));
    await waves.run(6_000);
    t.is(await waves.status('1'), 'completed');
    t.deepEqual(waves.errors, []);
  }
});
