import process from 'node:process';

import { delay, Random } from '@apricothoist/common';
import { JobState, RunEnd, StartOutcome } from '@apricothoist/dispatch';
import type { CallFate, VirtualCall, VirtualRunRecord } from '@apricothoist/testing';
import {
  CallKind,
  DispatchFixture,
  listedRunner,
  plainStep,
  RandomCallFates,
  replayBounds,
} from '@apricothoist/testing';
import test from 'ava';
import { err } from 'neverthrow';

import type { CoordinationStore } from './CoordinationStore.js';
import { CoordinationError, CoordinationErrorKind } from './CoordinationStore.js';
import { readSeeds } from './testing/readSeeds.js';
import { findOverlaps, watchRunnerLimits } from './testing/runChecks.js';
import {
  delivered,
  isTraced,
  latencyMs,
  queue,
  VirtualDeployment,
} from './testing/VirtualDeployment.js';

/** Decides the fates of the first start calls in order; all other calls are delivered. */
function firstStarts(...fates: readonly CallFate[]): (call: VirtualCall) => CallFate {
  const remaining = [...fates];
  return ({ kind }) => (kind === CallKind.start ? remaining.shift() : undefined) ?? delivered;
}

const jobId = '00000000000000aa';
/** Task size that fills a runner. */
const wholeRunner = { size: { cpu: 1_000, memoryMb: 1_000, accelerators: 8 } };

[
  StartOutcome.unhealthy,
  StartOutcome.noCapacity,
  StartOutcome.leaseExpired,
  StartOutcome.invalid,
].forEach((outcome) => {
  // The answer to the retry says nothing about the first call.
  test.serial(
    `a start executed late does not overlap the next run: retry ${outcome}`,
    async (t) => {
      using deployment = new VirtualDeployment({
        runners: 2,
        durationMs: 5_000,
        decideFate: firstStarts(
          { kind: 'late', lateMs: 3_000 },
          { kind: 'refused', outcome, latencyMs: 350 },
        ),
      });
      deployment.submit(jobId, [plainStep]);
      deployment.takeOver();
      await deployment.run(200);
      // Moves the next run to the other runner.
      deployment.drainingRunners.add('r1');
      t.true(await deployment.runUntilCompleted(30_000));
      await deployment.run(10_000);
      t.deepEqual(findOverlaps(deployment.pool.records), []);
    },
  );
});

// The place of a run that is wrongly held to have ended goes to another task of its step.
test.serial('a start executed late does not exceed the limit of tasks per runner', async (t) => {
  using deployment = new VirtualDeployment({
    runners: 2,
    durationMs: 5_000,
    decideFate: firstStarts({ kind: 'late', lateMs: 3_000 }, delivered, {
      kind: 'refused',
      outcome: StartOutcome.noCapacity,
      latencyMs,
    }),
  });
  const exceeded = watchRunnerLimits(deployment);
  deployment.submit(jobId, [{ ...plainStep, count: 3, perRunnerLimit: 1 }]);
  deployment.takeOver();
  t.true(await deployment.runUntilCompleted(60_000));
  t.deepEqual(exceeded, []);
});

[RunEnd.done, RunEnd.failed].forEach((end) => {
  // The runner refuses the retry as outdated because the first call was executed.
  test.serial(`the end of a run whose start was not answered is not lost: ${end}`, async (t) => {
    let reportsToDrop = 1;
    let hasStarted = false;
    using deployment = new VirtualDeployment({
      runners: 1,
      durationMs: 100,
      behave: () => (end === RunEnd.failed ? { failsAfterMs: 50 } : {}),
      decideFate: ({ kind }) => {
        if (kind === CallKind.start && !hasStarted) {
          hasStarted = true;
          return { kind: 'answerLost', latencyMs };
        }
        if (kind === CallKind.report && hasStarted && reportsToDrop > 0) {
          reportsToDrop -= 1;
          return { kind: 'dropped' };
        }
        return delivered;
      },
    });
    deployment.submit(jobId, [plainStep]);
    deployment.takeOver();
    await deployment.run(60_000);
    const { records } = deployment.pool;
    t.deepEqual(
      records.map((record) => record.end),
      end === RunEnd.done ? [end] : Array.from({ length: queue.maxAttempts }, () => end),
    );
    t.is(deployment.stateOf(jobId), end === RunEnd.done ? JobState.completed : JobState.failed);
  });
});

/** Milliseconds after which the records of an ended job are removed, and a little more. */
const pastRetentionMs = 601_000;

function delegateTo(store: CoordinationStore): CoordinationStore {
  return {
    maxTransactionEntries: store.maxTransactionEntries,
    read: (...call) => store.read(...call),
    list: (...call) => store.list(...call),
    listPage: (...call) => store.listPage(...call),
    watch: (...call) => store.watch(...call),
    commit: (...call) => store.commit(...call),
    grantLease: (...call) => store.grantLease(...call),
    renewLease: (...call) => store.renewLease(...call),
    endLease: (...call) => store.endLease(...call),
  };
}

function unanswered() {
  return err(new CoordinationError(CoordinationErrorKind.unanswered, 'no response'));
}

// A failed watch is followed by a read of all jobs, which still contains the ended one.
test.serial('a job whose records could not be removed does not run again', async (t) => {
  let lostRemovals = 0;
  const startedRuns: (number | undefined)[] = [];
  using deployment = new VirtualDeployment({
    runners: 1,
    decideFate: ({ kind, run }) => {
      startedRuns.push(...(kind === CallKind.start ? [run] : []));
      return delivered;
    },
    wrapStore: (store) => ({
      ...delegateTo(store),
      commit: async (transaction, deadline) => {
        if (transaction.deletes !== undefined && lostRemovals === 0) {
          lostRemovals += 1;
          return unanswered();
        }
        return store.commit(transaction, deadline);
      },
      watch: async (...call) => {
        if (lostRemovals === 1) {
          lostRemovals += 1;
          return unanswered();
        }
        return store.watch(...call);
      },
    }),
  });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  t.true(await deployment.runUntilCompleted(10_000));
  await deployment.run(pastRetentionMs);
  t.is(lostRemovals, 2);
  await deployment.run(20_000);
  t.deepEqual(startedRuns, [1]);
  const stored = await Promise.all([deployment.run(100), deployment.store.list('')]);
  t.deepEqual(
    stored[1]._unsafeUnwrap().items.filter(({ key }) => key.includes(jobId)),
    [],
    'the records are removed later',
  );
});

// The read was answered from before the removal, and the answer arrives after it.
test.serial('a job read before the removal of its records does not run again', async (t) => {
  const shortWatchMs = 50;
  let isRemoving = false;
  let isRemoved = false;
  let isReadAgain = false;
  const startedRuns: (number | undefined)[] = [];
  using deployment = new VirtualDeployment({
    runners: 1,
    decideFate: ({ kind, run }) => {
      startedRuns.push(...(kind === CallKind.start ? [run] : []));
      return delivered;
    },
    wrapStore: (store) => ({
      ...delegateTo(store),
      commit: async (transaction, deadline) => {
        isRemoving ||= transaction.deletes !== undefined;
        while (isRemoving && !isReadAgain) {
          await delay(1);
        }
        const result = await store.commit(transaction, deadline);
        isRemoved ||= isRemoving;
        return result;
      },
      watch: async (prefix, after, waitMs, deadline) =>
        isRemoving && !isReadAgain
          ? unanswered()
          : store.watch(prefix, after, Math.min(waitMs, shortWatchMs), deadline),
      list: async (...call) => {
        const items = await store.list(...call);
        isReadAgain ||= isRemoving;
        while (isRemoving && !isRemoved) {
          await delay(1);
        }
        await delay(isRemoving ? shortWatchMs : 0);
        return items;
      },
    }),
  });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  t.true(await deployment.runUntilCompleted(10_000));
  await deployment.run(pastRetentionMs + 20_000);
  t.true(isRemoved && isReadAgain);
  t.deepEqual(startedRuns, [1]);
});

test.serial('a step of the wall clock does not expire the leases of a runner early', async (t) => {
  using deployment = new VirtualDeployment({ runners: 2, durationMs: 15_000 });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  await deployment.run(1_500);
  deployment.cutRunners.add('r1');
  await deployment.run(500);
  deployment.wallOffsetMs += 2_500;
  t.true(await deployment.runUntilCompleted(60_000));
  t.is(deployment.pool.records[0]?.end, RunEnd.lapsed);
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});

test.serial('a stop answered before a restart is no proof for the new process', async (t) => {
  const starts: CallFate[] = [{ kind: 'dropped' }, { kind: 'late', lateMs: 3_000 }];
  const stops: CallFate[] = [delivered, { kind: 'dropped' }, { kind: 'dropped' }];
  using deployment = new VirtualDeployment({
    runners: 4,
    durationMs: 5_000,
    decideFate: ({ kind, runnerId, run }) => {
      if (run !== 1) {
        return delivered;
      }
      if (runnerId === 'r1') {
        return { kind: 'refused', outcome: StartOutcome.unhealthy, latencyMs };
      }
      return kind === CallKind.start
        ? (starts.shift() ?? { kind: 'dropped' })
        : (stops.shift() ?? delivered);
    },
  });
  deployment.submit(jobId, [{ ...plainStep, ...wholeRunner, count: 2, isGang: true }]);
  deployment.takeOver();
  await deployment.run(100);
  deployment.restart('r2', 100);
  t.true(await deployment.runUntilCompleted(30_000));
  await deployment.run(10_000);
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});

test('a late report of an earlier incarnation does not stand for the new one', (t) => {
  const fixture = new DispatchFixture([plainStep], undefined, ['r1']);
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 2 })], fixture.now);
  fixture.report('r1', [], [], 1);
  t.deepEqual(fixture.step().starts, [], 'the new process has not accepted the token');
  fixture.report('r1', [], [], 2);
  t.is(fixture.step().starts.length, 1);
});

test.serial('an expired lease does not prove an end once it is extended again', async (t) => {
  using deployment = new VirtualDeployment({
    runners: 2,
    durationMs: 10_000,
    decideFate: firstStarts(
      { kind: 'late', lateMs: 10_000 },
      { kind: 'dropped' },
      { kind: 'dropped' },
    ),
  });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  await deployment.run(100);
  deployment.cutRunners.add('r1');
  await deployment.run(7_500);
  t.is(deployment.pool.records.length, 1, 'the task runs again');
  deployment.cutRunners.delete('r1');
  // Moves the next job to the runner of the first run.
  deployment.drainingRunners.add('r2');
  await deployment.run(1_500);
  deployment.submit('00000000000000bb', [plainStep]);
  await deployment.run(200);
  t.true(await deployment.runUntilCompleted(60_000));
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});

// The deadline is a time on the clock of the former process, which was ahead.
test.serial('a late call to a restarted runner does not outlast the computed lease', async (t) => {
  let reportsToDelay = 0;
  using deployment = new VirtualDeployment({
    runners: 2,
    durationMs: 20_000,
    decideFate: ({ kind }) => {
      if (kind === CallKind.start) {
        reportsToDelay = 1;
      }
      if (kind === CallKind.report && reportsToDelay > 0) {
        reportsToDelay -= 1;
        return { kind: 'late', lateMs: 5_000 };
      }
      return delivered;
    },
  });
  deployment.takeOver();
  await deployment.run(1_000);
  deployment.restart('r1', 50, 20_000);
  await deployment.run(200);
  deployment.submit(jobId, [plainStep]);
  while (deployment.pool.records.length === 0 && deployment.now < 1_010_000) {
    await deployment.run(200);
  }
  t.is(deployment.pool.records.length, 1);
  deployment.cutRunners.add(deployment.pool.records[0]?.runnerId ?? '');
  t.true(await deployment.runUntilCompleted(90_000));
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});

test.serial('a start is not sent to a runner whose report failed', async (t) => {
  let refusesReports = false;
  const starts: number[] = [];
  using deployment = new VirtualDeployment({
    runners: 1,
    decideFate: ({ kind, sentAt }) => {
      if (kind === CallKind.start) {
        starts.push(sentAt);
      }
      return refusesReports && kind === CallKind.report
        ? { kind: 'refused', outcome: StartOutcome.unhealthy, latencyMs }
        : delivered;
    },
  });
  deployment.takeOver();
  await deployment.run(1_000);
  refusesReports = true;
  deployment.submit(jobId, [plainStep]);
  await deployment.run(3_000);
  t.deepEqual(starts, []);
  refusesReports = false;
  t.true(await deployment.runUntilCompleted(30_000));
});

// Ends of other tasks keep the link waiting for the store.
test.serial('leases are extended while ends wait for a slow store', async (t) => {
  using deployment = new VirtualDeployment({
    runners: 1,
    durationMs: 1_000,
    behave: ({ task }) => ({
      durationMs: task.endsWith('.0.0.0') ? 15_000 : 500 + 100 * Number(task.split('.')[3]),
    }),
  });
  deployment.store.callMs = 300;
  const count = 100;
  const size = { cpu: 10, memoryMb: 10, accelerators: 0 };
  deployment.takeOver();
  await deployment.run(3_000);
  deployment.submit(jobId, [{ ...plainStep, size, count }]);
  t.true(await deployment.runUntilCompleted(60_000));
  t.is(deployment.pool.records.length, count);
});

// The registry lists the runner again while the step that removed it stores its changes.
test.serial('a runner that is listed again right after its removal is used again', async (t) => {
  using deployment = new VirtualDeployment({ runners: 1, durationMs: 3_000 });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  await deployment.run(1_000);
  deployment.store.callMs = 600;
  deployment.cutRunners.add('r1');
  deployment.unlistedRunners.add('r1');
  const { runners } = deployment.scheduling.dispatcher.state;
  while (runners.has('r1') && deployment.now < 1_020_000) {
    await deployment.run(1);
  }
  t.false(runners.has('r1'));
  deployment.unlistedRunners.delete('r1');
  deployment.cutRunners.delete('r1');
  t.true(await deployment.runUntilCompleted(60_000));
});

test.serial('ends beyond the longest list are not taken for missing runs', async (t) => {
  const taskCount = 510;
  let reportsToDrop = 0;
  using deployment = new VirtualDeployment({
    runners: 1,
    capacity: { cpu: 1_000_000, memoryMb: 1_000_000, accelerators: 1_000 },
    durationMs: 300,
    decideFate: ({ kind }) => {
      if (kind === CallKind.report && reportsToDrop > 0) {
        reportsToDrop -= 1;
        return { kind: 'dropped' };
      }
      return delivered;
    },
  });
  deployment.takeOver();
  await deployment.run(500);
  reportsToDrop = 1;
  deployment.submit(jobId, [{ ...plainStep, count: taskCount }]);
  t.true(await deployment.runUntilCompleted(30_000));
  t.is(deployment.pool.records.length, taskCount);
});

test.serial('an end on a restarted runner is not lost to an earlier acknowledgement', async (t) => {
  let reportsToDrop = 0;
  using deployment = new VirtualDeployment({
    runners: 1,
    durationMs: 300,
    decideFate: ({ kind }) => {
      if (kind === CallKind.report && reportsToDrop > 0) {
        reportsToDrop -= 1;
        return { kind: 'dropped' };
      }
      return delivered;
    },
  });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  t.true(await deployment.runUntilCompleted(5_000));
  await deployment.run(1_000);
  deployment.restart('r1', 50, 5_000);
  reportsToDrop = 1;
  deployment.submit('00000000000000bb', [plainStep]);
  t.true(await deployment.runUntilCompleted(10_000));
  t.deepEqual(
    deployment.pool.records.map(({ end }) => end),
    [RunEnd.done, RunEnd.done],
  );
});

/** Seeds of the property test; RUN_SEEDS=FROM-TO plays others, 100 in about 40 s. */
const ciSeeds = [3, 5, 8, 13, 15, 17, 18, 23, 24, 38, 40, 43, 50, 89, 177];
const seeds = readSeeds(process.env.RUN_SEEDS) ?? ciSeeds;

/** Starts of tasks after the acknowledged end of a successful run. */
function findRestartsAfterDone(records: readonly VirtualRunRecord[]): string[] {
  return records
    .filter(({ end, acknowledgedAt, hasLapsed }) => {
      const isAcknowledged = acknowledgedAt !== Infinity && !hasLapsed;
      return end === RunEnd.done && isAcknowledged;
    })
    .flatMap((done) =>
      records
        .filter(({ task, startedAt }) => task === done.task && startedAt > done.endedAt)
        .map(({ task, run }) => `${task}: run ${run} after run ${done.run} was done`),
    );
}

/** Milliseconds between two draws of faults. */
const faultIntervalMs = 100;
/** Milliseconds for which faults are drawn. */
const faultyMs = 25_000;
/** Probability of each fault per interval, and its duration in milliseconds. */
const periodFaults = {
  cut: { rate: 0.008, durationMs: [300, 9_000] },
  unhealthy: { rate: 0.008, durationMs: [200, 3_000] },
  unlisted: { rate: 0.004, durationMs: [500, 6_000] },
  restart: { rate: 0.004, durationMs: [20, 4_000] },
} as const;
const takeOverRate = 0.012;
const wallStepRate = 0.004;
const maxWallStepMs = 3_000;

type Period = readonly [min: number, max: number];

/** Draws jobs and faults from a seed and plays them; returns what broke the invariants. */
async function playSeed(seed: number, log: (line: string) => void): Promise<string[]> {
  const random = new Random(seed);
  const between = ([min, max]: Period): number => min + random.below(max - min);
  const rates = { dropped: 0.05, answerLost: 0.05, late: 0.1, refused: 0.05 };
  const fates = new RandomCallFates(random, rates);
  const durations = new Map<string, number>();
  const broken: string[] = [];
  using deployment = new VirtualDeployment({
    runners: 4 + random.below(5),
    guardsCapacity: random.below(2) === 0,
    queue: { ...queue, maxAttempts: 1_000 },
    decideFate: (call) => fates.decide(call),
    behave: ({ jobId: id }) => {
      const durationMs = durations.get(id) ?? 0;
      const isFailing = fates.isActive && random.fraction() < 0.05;
      return {
        durationMs,
        stopMs: between([10, replayBounds.stopMs]),
        ...(isFailing ? { failsAfterMs: 1 + random.below(durationMs) } : {}),
      };
    },
  });
  const { pool } = deployment;
  const exceeded = watchRunnerLimits(deployment);
  const submit = (index: number): void => {
    const id = index.toString(16).padStart(16, '0');
    durations.set(id, between([200, 4_000]));
    const accelerators = 1 + random.below(4);
    const step = {
      size: { cpu: 1_000, memoryMb: 1_000, accelerators },
      count: 1 + random.below(4),
      declaredMs: durations.get(id) ?? 0,
      savesProgress: random.below(3) === 0,
      ...(random.below(3) === 0 ? { perRunnerLimit: 1 } : {}),
    };
    const isGang = step.count > 1 && random.below(2) === 0;
    deployment.submit(id, [{ ...step, isGang }]);
  };
  const beginFaults = (): void => {
    pool.all.forEach((runner) => {
      const isDrawn = (kind: keyof typeof periodFaults): boolean =>
        random.fraction() < periodFaults[kind].rate;
      const durationOf = (kind: keyof typeof periodFaults): number =>
        between(periodFaults[kind].durationMs);
      if (isDrawn('cut')) {
        deployment.cutRunners.add(runner.id);
        setTimeout(() => deployment.cutRunners.delete(runner.id), durationOf('cut'));
      }
      if (isDrawn('unhealthy')) {
        runner.isUnhealthy = true;
        setTimeout(() => {
          runner.isUnhealthy = false;
        }, durationOf('unhealthy'));
      }
      if (isDrawn('unlisted')) {
        deployment.unlistedRunners.add(runner.id);
        setTimeout(() => deployment.unlistedRunners.delete(runner.id), durationOf('unlisted'));
      }
      if (runner.isUp && isDrawn('restart')) {
        deployment.restart(runner.id, durationOf('restart'), between([0, 2_000]));
      }
    });
    if (random.fraction() < takeOverRate) {
      deployment.takeOver();
    }
    if (random.fraction() < wallStepRate) {
      deployment.wallOffsetMs += random.below(maxWallStepMs);
    }
  };
  const jobCount = 36;
  deployment.takeOver();
  for (let elapsedMs = 0; elapsedMs < faultyMs; elapsedMs += faultIntervalMs) {
    const submitted = durations.size;
    if (submitted < jobCount && submitted * faultyMs <= jobCount * elapsedMs * 2) {
      submit(submitted + 1);
    }
    beginFaults();
    await deployment.run(faultIntervalMs);
  }
  fates.isActive = false;
  if (!(await deployment.runUntilCompleted(90_000))) {
    broken.push('not all jobs completed after the faults');
  }
  await deployment.run(15_000);
  broken.push(...deployment.resignations.map((reason) => `resigned: ${reason}`));
  broken.push(...exceeded, ...findOverlaps(pool.records), ...findRestartsAfterDone(pool.records));
  if (isTraced) {
    deployment.explain(broken).forEach(log);
  }
  return broken;
}

test.serial('runs of a task never overlap under random faults', async (t) => {
  const violations: string[] = [];
  for (const seed of seeds) {
    const broken = await playSeed(seed, (line) => t.log(line));
    violations.push(...broken.map((text) => `seed ${seed}: ${text}`));
  }
  t.deepEqual(violations, []);
});
