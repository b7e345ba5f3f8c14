import type { StartCommand } from '@apricothoist/dispatch';
import { RunEnd, StartOutcome } from '@apricothoist/dispatch';
import test from 'ava';

import { listedRunner } from './DispatchFixture.js';
import { plainStep } from './replaySettings.js';
import type { TaskBehaviour } from './TaskBehaviour.js';
import type { VirtualRunnerOptions } from './VirtualRunner.js';
import { VirtualRunner } from './VirtualRunner.js';
import { VirtualRunnerPool } from './VirtualRunnerPool.js';

const maxLeaseMs = 6_000;
const gangTimeoutMs = 4_000;
/** A deadline beyond the longest lease. */
const longDeadline = 1_000_000;

const wholeRunner = { cpu: 1_000, memoryMb: 1_000, accelerators: 8 };

const singleTask: TaskBehaviour = {
  size: plainStep.size,
  durationMs: 1_000,
  stopMs: 300,
  savesProgress: true,
};

function createPool(
  behaviour: Partial<TaskBehaviour> = {},
  options: Partial<VirtualRunnerOptions> = {},
): { pool: VirtualRunnerPool; first: VirtualRunner; second: VirtualRunner } {
  const pool = new VirtualRunnerPool(gangTimeoutMs);
  const create = (id: string): VirtualRunner =>
    new VirtualRunner(
      {
        entry: listedRunner(id),
        clockSlowness: 1,
        maxLeaseMs,
        guardsCapacity: true,
        behaviourOf: () => ({ ...singleTask, ...behaviour }),
        ...options,
      },
      pool,
      0,
    );
  const runners = { first: create('r1'), second: create('r2') };
  pool.add(runners.first);
  pool.add(runners.second);
  return { pool, ...runners };
}

function startCommand(run: number, index = 0, saved = ''): StartCommand {
  const task = `00000000000000aa.0.0.${index}`;
  const jobId = '00000000000000aa';
  return { runnerId: 'r1', processStartedAt: 1, jobId, task, run, payload: '', saved };
}

function endsOf(runner: VirtualRunner, now: number): string[] {
  return runner.report(now).ended.map(({ number, run, end }) => `${number} ${run} ${end}`);
}

test('a runner does nothing for a token lower than the highest it has seen', (t) => {
  const { first } = createPool();
  t.true(first.acknowledge(7, 0, undefined, 0));
  t.is(first.start(startCommand(1), 6, longDeadline, 1), StartOutcome.fenced);
  t.false(first.stop(startCommand(1), 6, 1));
  t.false(first.acknowledge(6, 0, longDeadline, 1));
  t.deepEqual(first.activeRuns, []);
  t.is(first.start(startCommand(1), 7, longDeadline, 1), StartOutcome.started);
});

test('an unhealthy runner has done nothing for a start, not even kept its token', (t) => {
  const { first } = createPool();
  first.isUnhealthy = true;
  t.is(first.start(startCommand(1), 9, longDeadline, 0), StartOutcome.unhealthy);
  first.isUnhealthy = false;
  t.is(first.start(startCommand(1), 8, longDeadline, 0), StartOutcome.started);
});

test('a repeated start is answered as started, and runs once', (t) => {
  const { pool, first } = createPool();
  t.is(first.start(startCommand(1), 1, longDeadline, 0), StartOutcome.started);
  t.is(first.start(startCommand(1), 1, longDeadline, 10), StartOutcome.started);
  t.is(pool.records.length, 1);
});

test('a stopped run cannot start later, nor a lower one', (t) => {
  const { first } = createPool();
  first.stop(startCommand(3), 1, 0);
  t.is(first.start(startCommand(2), 1, longDeadline, 1), StartOutcome.outdatedRun);
  t.is(first.start(startCommand(3), 1, longDeadline, 1), StartOutcome.outdatedRun);
  t.is(first.start(startCommand(4), 1, longDeadline, 1), StartOutcome.started);
});

test('a run not higher than one that has ended is refused', (t) => {
  const { pool, first } = createPool();
  first.start(startCommand(2), 1, longDeadline, 0);
  pool.advance(2_000);
  t.is(first.start(startCommand(1), 1, longDeadline, 2_000), StartOutcome.outdatedRun);
  t.is(first.start(startCommand(2), 1, longDeadline, 2_000), StartOutcome.outdatedRun);
});

test('a stop takes its time, and its end carries the saved progress', (t) => {
  const { pool, first } = createPool();
  first.start(startCommand(1), 1, longDeadline, 0);
  first.stop(startCommand(1), 1, 400);
  pool.advance(699);
  t.is(first.report(699).running.length, 1);
  pool.advance(700);
  t.deepEqual(endsOf(first, 700), ['1 1 stopped']);
  const saved = first.report(700).ended[0]?.saved;
  t.is(saved, '400');
  first.start(startCommand(2, 0, saved), 1, longDeadline, 1_000);
  pool.advance(1_600);
  t.deepEqual(endsOf(first, 1_600), ['1 1 stopped', '2 2 done'], 'resumed, not begun again');
});

test('ends are listed until they are acknowledged, 500 at a time', (t) => {
  const { pool, first } = createPool({ durationMs: 1 }, { guardsCapacity: false });
  for (let index = 0; index < 502; index += 1) {
    first.start(startCommand(1, index), 1, longDeadline, 0);
  }
  pool.advance(10);
  const before = first.report(10);
  t.is(before.ended.length, 500);
  t.true(before.hasMoreEnds);
  t.true(first.acknowledge(1, 500, undefined, 11));
  const after = first.report(11);
  t.deepEqual(
    after.ended.map(({ number }) => number),
    [501, 502],
  );
  t.false(after.hasMoreEnds);
});

test('a lease is cut to the longest one at arrival, and never shortened', (t) => {
  const { pool, first } = createPool({ durationMs: 60_000 });
  first.start(startCommand(1), 1, longDeadline, 0);
  first.acknowledge(1, 0, 10, 1_000);
  pool.advance(maxLeaseMs - 1);
  t.deepEqual(endsOf(first, maxLeaseMs - 1), []);
  pool.advance(maxLeaseMs);
  t.deepEqual(endsOf(first, maxLeaseMs), ['1 1 lapsed']);
});

test('a lease is measured on the clock of the runner, which may be slow', (t) => {
  const { pool, first } = createPool({ durationMs: 60_000 }, { clockSlowness: 1.02 });
  first.start(startCommand(1), 1, longDeadline, 0);
  pool.advance(maxLeaseMs * 1.02 - 1);
  t.is(first.report(6_119).running.length, 1);
  pool.advance(maxLeaseMs * 1.02);
  t.is(first.report(6_120).running.length, 0);
});

test('a start whose deadline has passed is refused if no other lease is open', (t) => {
  const { first } = createPool();
  t.is(first.start(startCommand(1), 1, 900, 1_000), StartOutcome.leaseExpired);
  t.is(first.start(startCommand(1), 1, 1_500, 1_000), StartOutcome.started);
  t.is(first.start(startCommand(1, 1), 1, 900, 1_100), StartOutcome.started);
});

test('the deadline of a refused start applies to what runs on the runner', (t) => {
  const { pool, first } = createPool({ durationMs: 60_000, size: wholeRunner });
  first.start(startCommand(1), 1, 1_000, 0);
  t.is(first.start(startCommand(1, 1), 1, 2_000, 500), StartOutcome.noCapacity);
  first.stop(startCommand(1, 2), 1, 600);
  t.is(first.start(startCommand(1, 2), 1, 3_000, 600), StartOutcome.outdatedRun);
  pool.advance(2_999);
  t.is(first.report(2_999).running.length, 1);
  pool.advance(3_000);
  t.is(first.report(3_000).running.length, 0);
});

test('a new process knows nothing of the former one', (t) => {
  const { pool, first } = createPool();
  first.start(startCommand(1), 9, longDeadline, 0);
  first.stop(startCommand(5, 1), 9, 10);
  first.crash(100);
  t.false(first.isUp);
  first.restart(200, 200);
  t.is(first.clock(250), 50);
  t.deepEqual(first.report(250).running, []);
  t.is(first.start(startCommand(1, 1), 1, longDeadline, 250), StartOutcome.started);
  pool.advance(2_000);
  t.deepEqual(endsOf(first, 2_000), ['1 1 done'], 'ends are numbered from 1');
  t.is(pool.records[0]?.endedAt, 100);
});

test('a gang works once all of its members are present, and is done together', (t) => {
  const { pool, first, second } = createPool({ gangSize: 2 });
  first.start(startCommand(1, 0), 1, longDeadline, 0);
  pool.advance(500);
  t.is(first.report(500).running[0]?.percent, 0);
  second.start(startCommand(1, 1), 1, longDeadline, 500);
  pool.advance(1_500);
  t.deepEqual([endsOf(first, 1_500), endsOf(second, 1_500)], [['1 1 done'], ['1 1 done']]);
});

test('a gang member ends alone, or broken after the end of another one', (t) => {
  const { pool, first, second } = createPool({ gangSize: 2 });
  first.start(startCommand(1, 0), 1, longDeadline, 0);
  pool.advance(gangTimeoutMs);
  t.deepEqual(endsOf(first, gangTimeoutMs), ['1 1 alone']);
  first.start(startCommand(2, 0), 1, longDeadline, 5_000);
  second.start(startCommand(2, 1), 1, longDeadline, 5_000);
  second.stop(startCommand(2, 1), 1, 5_100);
  pool.advance(6_500);
  t.deepEqual(endsOf(first, 6_500), ['1 1 alone', '2 2 broken']);
  t.deepEqual(endsOf(second, 6_500), ['1 2 stopped']);
});

test('a lapse between an end and its acknowledgement is recorded', (t) => {
  const { pool, first } = createPool();
  first.start(startCommand(1), 1, 2_000, 0);
  pool.advance(2_000);
  first.acknowledge(1, 1, longDeadline, 2_100);
  const [record] = pool.records;
  t.is(record?.end, RunEnd.done);
  t.is(record?.acknowledgedAt, 2_100);
  t.true(record?.hasLapsed);
});

test('a task crashes its runner, with all runs and without a report of them', (t) => {
  const { pool, first } = createPool(
    {},
    {
      behaviourOf: ({ task }) =>
        task.endsWith('.1') ? { ...singleTask, crashesAfterMs: 300 } : singleTask,
    },
  );
  const crashes: string[] = [];
  pool.onCrash(({ id, processStartedAt }, now) => crashes.push(`${id} ${processStartedAt} ${now}`));
  first.start(startCommand(1), 1, longDeadline, 0);
  first.start(startCommand(1, 1), 1, longDeadline, 100);
  pool.advance(399);
  t.true(first.isUp);
  pool.advance(400);
  t.false(first.isUp);
  t.deepEqual(crashes, ['r1 1 400']);
  t.deepEqual(
    pool.records.map(({ endedAt, end, hasCrashedRunner }) => [endedAt, end, hasCrashedRunner]),
    [
      [400, undefined, false],
      [400, undefined, true],
    ],
  );
  first.restart(2_000, 2_000);
  t.deepEqual(endsOf(first, 2_000), []);
  t.is(first.start(startCommand(2, 1), 1, longDeadline, 2_000), StartOutcome.started);
  pool.advance(2_300);
  t.false(first.isUp, 'each run of the task crashes its runner');
});

test('a gang member crashes its runner by presence or by work, and the others break', (t) => {
  const crashOf = (behaviour: Partial<TaskBehaviour>): (number | undefined)[] => {
    const { pool, first, second } = createPool(
      {},
      {
        behaviourOf: ({ task }) => ({
          ...singleTask,
          gangSize: 2,
          ...(task.endsWith('.0') ? behaviour : {}),
        }),
      },
    );
    first.start(startCommand(1, 0), 1, longDeadline, 0);
    pool.advance(200);
    second.start(startCommand(1, 1), 1, longDeadline, 200);
    pool.advance(2_000);
    t.deepEqual(endsOf(second, 2_000), ['1 1 broken']);
    return pool.records.map(({ endedAt }) => endedAt);
  };
  t.deepEqual(crashOf({ crashesAfterMs: 300 }), [300, 320]);
  t.deepEqual(crashOf({ crashesAfterWorkMs: 300 }), [500, 520]);
});

test('a task that is being stopped may crash its runner, but not by work', (t) => {
  const isUpAfterStop = (behaviour: Partial<TaskBehaviour>): boolean => {
    const { pool, first } = createPool(behaviour);
    first.start(startCommand(1), 1, longDeadline, 0);
    first.stop(startCommand(1), 1, 100);
    pool.advance(1_000);
    return first.isUp;
  };
  t.false(isUpAfterStop({ crashesAfterMs: 200 }));
  t.true(isUpAfterStop({ crashesAfterMs: 500 }));
  t.true(isUpAfterStop({ crashesAfterWorkMs: 200 }));
});

test('only a runner with guard refuses starts beyond its shrunk capacity', (t) => {
  const outcomes = [true, false].map((guardsCapacity) => {
    const { pool, first } = createPool({}, { guardsCapacity });
    first.start(startCommand(1), 1, longDeadline, 0);
    first.resize({ ...first.capacity, accelerators: 1 });
    t.is(first.entry.capacity.accelerators, 1);
    const beyond = first.start(startCommand(1, 1), 1, longDeadline, 10);
    pool.advance(20);
    t.true(first.report(20).running.length > 0, 'what runs goes on');
    first.resize({ ...first.capacity, accelerators: 2 });
    return [beyond, first.start(startCommand(1, 2), 1, longDeadline, 30)];
  });
  t.deepEqual(outcomes, [
    [StartOutcome.noCapacity, StartOutcome.started],
    [StartOutcome.started, StartOutcome.started],
  ]);
});
