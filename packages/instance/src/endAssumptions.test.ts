import type { VirtualRunnerClientOptions } from '@apricothoist/testing';
import { CallKind } from '@apricothoist/testing';
import test from 'ava';

import type { RunnerError } from './RunnerClient.js';
import { findOverlaps } from './testing/runChecks.js';
import { delivered, VirtualDeployment } from './testing/VirtualDeployment.js';

type Report = ReturnType<NonNullable<VirtualRunnerClientOptions<RunnerError>['alterReport']>>;

const dataCentres = ['a', 'b'];
const taskCount = 16;
const durationMs = 17_000;
const heartbeatMs = 1_500;
/** Milliseconds for which a runner refuses connections after it has closed those that were open. */
const resetMs = 30;

type Play = (
  deployment: VirtualDeployment,
  ids: readonly string[],
  unregistered: Set<string>,
) => void;

/** An observation that is wrong once while tasks are at work in both data centres. */
interface WrongObservation {
  readonly title: string;
  /** Largest number of runners whose runs may be taken to have ended. */
  readonly runners: number;
  /** Gets the busy runners of a data centre, and the set of those that cannot reach the registry. */
  readonly play?: Play;
  /** Milliseconds that the runners of the data centre remain if they drain. */
  readonly remainingMs?: number;
  readonly alterReport?: (report: Report) => Report;
}

/** The same for each runner of a data centre. */
const each =
  (play: (deployment: VirtualDeployment, id: string, unregistered: Set<string>) => unknown): Play =>
  (deployment, ids, unregistered): void =>
    ids.forEach((id) => play(deployment, id, unregistered));

/** Closes the connections to a runner, which serves again a little later. */
function reset({ refusingRunners }: VirtualDeployment, id: string): void {
  refusingRunners.add(id);
  setTimeout(() => refusingRunners.delete(id), resetMs);
}

const overwrite = (change: Parameters<VirtualDeployment['registry']['overwrite']>[1]) =>
  each(({ registry }, id) => registry.overwrite(id, change, false));

const observations: readonly WrongObservation[] = [
  {
    title: 'a listing lacks a data centre',
    runners: 0,
    play: each(({ registry }, id) => registry.idsToOmit.add(id)),
  },
  {
    title: 'a listing lacks all runners',
    runners: 0,
    play: ({ pool, registry }) => pool.all.forEach(({ id }) => registry.idsToOmit.add(id)),
  },
  {
    title: 'listings lack a data centre for three seconds',
    runners: 0,
    play: each(({ unlistedRunners }, id) => {
      unlistedRunners.add(id);
      setTimeout(() => unlistedRunners.delete(id), 3_000);
    }),
  },
  {
    title: 'a listing lacks a data centre whose connections are closed',
    runners: 0,
    play: each(({ registry, refusingRunners }, id) => {
      registry.idsToOmit.add(id);
      refusingRunners.add(id);
    }),
  },
  {
    title: 'entries cannot be read',
    runners: 0,
    play: each(({ registry }, id) => registry.unreadableIds.add(id)),
  },
  { title: 'entries are copied', runners: 0, play: overwrite({}) },
  {
    title: 'entries say that their runners leave now',
    runners: 0,
    play: overwrite({ isDraining: true, minRemainingMs: 0 }),
  },
  { title: 'entries name another service', runners: 0, play: overwrite({ service: 'other' }) },
  { title: 'entries show a later start', runners: 0, play: overwrite({ processStartedAt: 5 }) },
  { title: 'entries show an earlier start', runners: 0, play: overwrite({ processStartedAt: 0 }) },
  {
    title: 'entries show a later start and runners are cut off',
    runners: 0,
    play: each(({ registry, cutRunners }, id) => {
      registry.overwrite(id, { processStartedAt: 5 }, false);
      cutRunners.add(id);
    }),
  },
  {
    title: 'the wall clock steps while a data centre is cut off',
    runners: 0,
    play: (deployment, ids) => {
      ids.forEach((id) => deployment.cutRunners.add(id));
      setTimeout(() => Object.assign(deployment, { wallOffsetMs: 5_000 }), 1_000);
    },
  },
  {
    title: 'a report is empty',
    runners: 1,
    alterReport: (report) => ({ ...report, running: [] }),
  },
  {
    title: 'a report lacks a run',
    runners: 1,
    alterReport: (report) => ({ ...report, running: report.running.slice(1) }),
  },
  {
    title: 'a report is that of another process',
    runners: 1,
    alterReport: (report) => ({ ...report, processStartedAt: 5, running: [], ended: [] }),
  },
  {
    title: 'a report is that of a process with the same runs',
    runners: 0,
    alterReport: (report) => ({ ...report, processStartedAt: 5 }),
  },
  {
    title: 'a report is that of an earlier process',
    runners: 1,
    alterReport: (report) => ({ ...report, processStartedAt: 0, running: [] }),
  },
];

/** The same of runners that drain, or are said to. */
const drainingObservations: readonly Omit<WrongObservation, 'runners'>[] = [
  {
    title: 'a listing lacks draining runners whose connections were reset',
    remainingMs: 15_000,
    play: each((deployment, id) => {
      deployment.registry.idsToOmit.add(id);
      reset(deployment, id);
    }),
  },
  {
    title: 'a listing lacks draining runners that are cut off past their remaining time',
    remainingMs: 1_000,
    play: each(({ registry, refusingRunners }, id) => {
      registry.idsToOmit.add(id);
      refusingRunners.add(id);
    }),
  },
  {
    title: 'a listing lacks runners that are cut off after another writer called them draining',
    play: each(({ registry, refusingRunners }, id) => {
      // Until the next heartbeat.
      setTimeout(() => registry.overwrite(id, { isDraining: true, minRemainingMs: 0 }, false), 150);
      setTimeout(() => refusingRunners.add(id), 900);
      setTimeout(() => registry.idsToOmit.add(id), 1_000);
    }),
  },
  {
    title: 'entries of draining runners that are cut off are copied before they expire',
    remainingMs: 1_000,
    play: each(({ registry, refusingRunners }, id, unregistered) => {
      unregistered.add(id);
      refusingRunners.add(id);
      setTimeout(() => registry.overwrite(id, {}, false), 2_500);
    }),
  },
];

/** Runners with runs that were started again elsewhere while they were at work. */
async function runnersHit(
  { play, alterReport, remainingMs }: Omit<WrongObservation, 'runners'>,
  isTakenOver: boolean,
): Promise<string[]> {
  let alteredId: string | undefined;
  using deployment = new VirtualDeployment({
    runners: 8,
    dataCentres,
    durationMs,
    alterReport: (id, report, token) => {
      if (id !== alteredId || alterReport === undefined || token !== deployment.scheduling.token) {
        return report;
      }
      alteredId = undefined;
      return alterReport(report);
    },
  });
  const { pool, registry } = deployment;
  const unregistered = new Set<string>();
  const write = (id: string): void => {
    if (!unregistered.has(id)) {
      registry.unreadableIds.delete(id);
      registry.write(id);
    }
  };
  pool.all.forEach(({ id }) => {
    write(id);
    setInterval(() => write(id), heartbeatMs);
  });
  const size = { cpu: 1_000, memoryMb: 1_000, accelerators: 2 };
  deployment.submit('00000000000000aa', [{ count: taskCount, declaredMs: durationMs, size }]);
  deployment.takeOver();
  // Past half of their work, so that they are not moved off draining runners.
  await deployment.run(heartbeatMs * 6 - 100);
  const busyIds = [...new Set(pool.records.map(({ runnerId }) => runnerId))];
  const ids = busyIds.filter((id) => pool.get(id).entry.dataCentre === dataCentres[0]);
  if (remainingMs !== undefined) {
    ids.forEach((id) => {
      deployment.drainingRunners.add(id);
      deployment.announcedEnds.set(id, deployment.now + remainingMs);
      write(id);
    });
    await deployment.run(heartbeatMs);
  }
  play?.(deployment, ids, unregistered);
  if (alterReport !== undefined) {
    // So that the tasks start elsewhere.
    deployment.drainingRunners.add(busyIds[0] ?? '');
    await deployment.run(1_000);
  }
  if (isTakenOver) {
    deployment.takeOver();
    await deployment.run(50);
  }
  [alteredId] = busyIds;
  await deployment.run(20_000);
  const tasks = findOverlaps(pool.records).map((text) => text.split(':')[0]);
  const overlapping = pool.records.filter(({ task, run }) => run === 1 && tasks.includes(task));
  return [...new Set(overlapping.map(({ runnerId }) => runnerId))];
}

observations.forEach((observation) => {
  const { title, runners } = observation;
  test.serial(`runners whose runs are taken to have ended when ${title}`, async (t) => {
    const former = await runnersHit(observation, false);
    t.true(former.length <= runners, `by a holder that started them: ${former.join(', ')}`);
    const successor = await runnersHit(observation, true);
    t.true(successor.length <= runners, `by a successor: ${successor.join(', ')}`);
  });
});

// One listing ended the runs on all draining runners of a data centre.
test.serial('no wrong listing or entry alone stands for departures', async (t) => {
  const hit: Record<string, readonly string[]> = {};
  for (const observation of drainingObservations) {
    hit[`${observation.title}, by a holder that started the runs`] = await runnersHit(
      observation,
      false,
    );
    hit[`${observation.title}, by a successor`] = await runnersHit(observation, true);
  }
  t.deepEqual(
    Object.entries(hit).filter(([, runnerIds]) => runnerIds.length > 0),
    [],
  );
});

// The former holder may have been suspended while its call was on its way.
test.serial('a call of the former holder that is late does not outlast the leases', async (t) => {
  for (const lateMs of [500, 2_000, 5_500, 6_500, 9_000]) {
    let cutId: string | undefined;
    using deployment = new VirtualDeployment({
      runners: 2,
      durationMs: 20_000,
      decideFate: ({ kind, runnerId }) =>
        kind === CallKind.report && runnerId === cutId ? { kind: 'late', lateMs } : delivered,
    });
    deployment.submit('00000000000000aa', [{ declaredMs: 20_000 }]);
    deployment.takeOver();
    await deployment.run(1_000);
    cutId = deployment.pool.records[0]?.runnerId;
    await deployment.run(1_100);
    deployment.cutRunners.add(cutId ?? '');
    deployment.takeOver();
    await deployment.run(15_000);
    t.is(deployment.pool.records.length, 2, 'the task is started again');
    t.deepEqual(findOverlaps(deployment.pool.records), [], `${lateMs} ms late`);
  }
});
