import test from 'ava';

import type { CreditEntry } from './CreditLedger.js';
import { CreditLedger, CreditLoss, findLoss } from './CreditLedger.js';
import type { UsageRun } from './UsageLedger.js';
import { FluidBound } from './FluidBound.js';
import { UsageLedger } from './UsageLedger.js';

const unfinished: CreditEntry = {
  queue: 'urgent',
  account: 'anna',
  arrivedAt: 0,
  credit: [4, 1],
  coreSeconds: 10,
  objectiveMs: 1_000,
  waitedMs: 0,
  preemptions: 0,
  isRefused: false,
  hasFailed: false,
};
const completed: CreditEntry = { ...unfinished, responseMs: 900 };

test('credit owed is the sum of what was earned and lost, in every grouping', (t) => {
  const ledger = new CreditLedger([
    completed,
    { ...completed, responseMs: 3_000, waitedMs: 2_500 },
    { ...completed, queue: 'batch', responseMs: 3_001, waitedMs: 2_500, preemptions: 1 },
    { ...unfinished, account: 'berta', isRefused: true },
  ]);
  const { owed, inTime, late, lost } = ledger.total;
  t.is(owed, 16);
  t.is(inTime, 4);
  t.is(late, 1, 'three times the objective still counts as late');
  t.deepEqual(lost, { waited: 3, preempted: 4, slow: 0, refused: 4, failed: 0 });
  [ledger.byQueue, ledger.bySize, ledger.byAccount, ledger.bySecond].forEach((group) => {
    const sums = [...group.values()];
    t.is(
      sums.reduce((sum, each) => sum + each.owed, 0),
      owed,
    );
  });
  t.is(ledger.byAccount.get('berta')?.lost.refused, 4);
});

// A job that never waited was counted as waiting for capacity when it ran on slow runners.
test('the cause of a loss: a refusal, a failure, a preemption, slow runs, and else the wait', (t) => {
  const late = { ...completed, responseMs: 1_500 };
  t.is(findLoss({ ...late, waitedMs: 600 }), CreditLoss.waited);
  t.is(findLoss({ ...late, waitedMs: 400 }), CreditLoss.slow);
  t.is(findLoss({ ...late, preemptions: 1 }), CreditLoss.preempted);
  t.is(findLoss({ ...late, preemptions: 1, hasFailed: true }), CreditLoss.failed);
  t.is(findLoss({ ...late, isRefused: true }), CreditLoss.refused);
});

test('the worst windows are sought by second of arrival, without the jobs before the load', (t) => {
  const lost = { ...completed, responseMs: 9_000 };
  const ledger = new CreditLedger([
    { ...lost, arrivedAt: -8_000 },
    { ...completed, arrivedAt: 4_999 },
    { ...completed, arrivedAt: 5_000 },
    { ...lost, arrivedAt: 9_999 },
    { ...lost, arrivedAt: 10_000 },
  ]);
  t.deepEqual(ledger.worstWindows, [
    { from: 10_000, owed: 4, share: 0 },
    { from: 5_000, owed: 8, share: 0.5 },
  ]);
});

test('size classes are formed within each queue', (t) => {
  const urgent = Array.from({ length: 10 }, (_, index) => ({ ...completed, coreSeconds: index }));
  const batch = { ...completed, queue: 'batch', coreSeconds: 1_000 };
  const { bySize } = new CreditLedger([...urgent, batch]);
  t.is(bySize.get('urgent, largest tenth')?.jobs, 1);
  t.is(bySize.get('urgent, fifth below')?.jobs, 2);
  t.is(bySize.get('urgent, rest')?.jobs, 7);
  t.is(bySize.get('batch, largest tenth')?.jobs, 1);
});

test('accelerator-seconds of a run are used or lost by cause, never both', (t) => {
  const run: UsageRun = {
    accelerators: 8,
    ranMs: 2_000,
    lostMs: 0,
    idleMs: 0,
    preemptedAfterMs: undefined,
    isWorthless: false,
  };
  const ledger = new UsageLedger(
    [
      { ...run, idleMs: 500 },
      { ...run, lostMs: 1_500, preemptedAfterMs: 1_800 },
      { ...run, ranMs: 400, lostMs: 400, preemptedAfterMs: 200 },
      { ...run, lostMs: 2_000 },
      { ...run, isWorthless: true },
    ],
    [{ occupied: 3_000, reserved: 1_000, idle: 4_000 }],
  );
  t.is(ledger.used, 12 + 4);
  t.deepEqual(ledger.lost, { preempted: 15.2, stopped: 16, slowestMember: 4, worthless: 16 });
  t.is(ledger.preemptedRuns, 2);
  t.is(ledger.youngPreemptedRuns, 1);
  t.is(ledger.capacity, 8);
  t.deepEqual(ledger.occupiedBySecond, [3 / 8]);
  t.is(ledger.idle, 4);
  t.is(ledger.reserved, 1);
});

// A greedy choice without the intervals beyond a job's own would let both jobs have the last second.
test('the bound gives contended time to the work with the greatest value per unit', (t) => {
  const long = { releasedAt: 0, deadline: 2_000, amount: 2_000, value: 2 };
  const short = { releasedAt: 1_000, deadline: 2_000, amount: 1_000, value: 3 };
  const shares = new FluidBound(1, 10_000).maximize([long, short]);
  t.is(shares.get(short), 1);
  t.is(shares.get(long), 0.5);
  const twice = new FluidBound(2, 10_000).maximize([long, short]);
  t.is(twice.get(long), 1, 'twice the capacity');
  const later = { ...short, releasedAt: 2_000, deadline: 3_000 };
  t.is(new FluidBound(1, 10_000).maximize([long, later]).get(long), 1, 'no contention');
});

// Rounding times inwards would let a real schedule earn more than the bound.
test('the bound rounds times outwards, and work due after the horizon costs nothing', (t) => {
  const work = { releasedAt: 499, deadline: 501, amount: 1_000, value: 1 };
  const bound = new FluidBound(1, 10_000);
  t.is(bound.maximize([work]).get(work), 1);
  const late = { ...work, deadline: 10_001, amount: 1_000_000 };
  t.is(bound.maximize([late]).get(late), 1);
});
