import { delay, Random } from '@apricothoist/common';
import type { InstanceProcess, ObservedRun } from '@apricothoist/site/testing';
import { TestDeployment, StoreMode } from '@apricothoist/site/testing';

import type { Fault } from './faults.js';
import { callFaults, capacityFaults, departureFaults, faults, runnerCapacity } from './faults.js';
import type { ClientJob } from './JobClients.js';
import { JobClients } from './JobClients.js';
import { oddRecordFaults } from './oddRecords.js';

export interface SoakOptions {
  readonly seed: number;
  readonly instances: number;
  readonly runners: number;
  readonly clients: number;
  /** Milliseconds during which faults are injected. */
  readonly faultMs: number;
  /** Whether further series of faults befall calls to runners. */
  readonly disruptsCalls: boolean;
  /** Whether some tasks crash their runners. */
  readonly crashesRunners: boolean;
  /** Whether the capacities of runners change. */
  readonly changesCapacity: boolean;
  /** Whether runners leave, and are cut off while they drain. */
  readonly departsRunners: boolean;
  /** Whether another writer leaves odd records in the store. */
  readonly leavesOddRecords: boolean;
  /** Whether the first runs of some jobs fail by their own fault. */
  readonly failsRuns: boolean;
  /** Whether some clients cancel before their submission is answered. */
  readonly cancelsEarly: boolean;
}

export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly violations: readonly string[];
  /** Logs of all instances and runners if an invariant was violated; empty otherwise. */
  readonly logs: string;
}

/** Number of concurrent series of faults. */
const concurrentFaultSeries = 2;
/** Number of further series, of faults of calls to runners. */
const concurrentCallFaultSeries = 2;
/** Share of the jobs whose tasks crash their runners. */
const crashingShare = 0.15;
/** Share of the jobs whose tasks outlast a registry entry, beside departures. */
const longShare = 0.2;
/** Share of the jobs whose first runs fail. */
const failingShare = 0.3;
/** Share of the jobs that are cancelled before their submission is answered. */
const impatientShare = 0.3;
/** Interval at which exited processes are restarted, as the platform does, in milliseconds. */
const restartIntervalMs = 200;
/** Milliseconds within which every accepted job has to end once no fault is active any more. */
const settleTimeoutMs = 30_000;
const maxAttempts = 3;
/** Crashes of runners after which a task may be given up. */
const minCrashes = 2;
/** Longest lease in milliseconds on a runner with a slow clock. */
const leaseMs = 6_200;

/** Runs one seed: real processes under load, with concurrent series of random faults. */
export async function runSeed(options: SoakOptions): Promise<SoakResult> {
  const random = new Random(options.seed);
  const storeRandom = new Random(options.seed + 1);
  await using deployment = new TestDeployment(
    () => storeRandom.fraction(),
    // Every second seed plays runners that do not guard their capacity.
    !options.changesCapacity || options.seed % 2 === 0,
  );
  await deployment.start(options.instances, options.runners);
  const clients = new JobClients(deployment, new Random(options.seed + 2), {
    crashing: options.crashesRunners ? crashingShare : 0,
    long: options.departsRunners ? longShare : 0,
    failing: options.failsRuns ? failingShare : 0,
    impatient: options.cancelsEarly ? impatientShare : 0,
  });
  clients.start(options.clients);
  const supervisor = setInterval(
    () => deployment.instances.forEach((instance) => instance.start()),
    restartIntervalMs,
  );
  const injectedFaults: string[] = [];
  const endBy = Date.now() + options.faultMs;
  const injectFaults = async (
    kinds: Readonly<Record<string, Fault>>,
    source: Random,
  ): Promise<void> => {
    while (Date.now() < endBy) {
      const name = source.pick(Object.keys(kinds));
      injectedFaults.push(name);
      await (kinds[name] as Fault)({ deployment, random: source });
      await delay(source.below(800));
    }
  };
  const callRandom = new Random(options.seed + 3);
  const capacityRandom = new Random(options.seed + 4);
  const departureRandom = new Random(options.seed + 5);
  const oddRandom = new Random(options.seed + 6);
  const oddSeries = options.leavesOddRecords ? 2 : 0;
  const departureSeries = options.departsRunners ? 1 : 0;
  const capacitySeries = options.changesCapacity ? 1 : 0;
  const callSeries = options.disruptsCalls ? concurrentCallFaultSeries : 0;
  await Promise.all([
    ...Array.from({ length: concurrentFaultSeries }, () => injectFaults(faults, random)),
    ...Array.from({ length: callSeries }, () => injectFaults(callFaults, callRandom)),
    ...Array.from({ length: capacitySeries }, () => injectFaults(capacityFaults, capacityRandom)),
    ...Array.from({ length: departureSeries }, () =>
      injectFaults(departureFaults, departureRandom),
    ),
    ...Array.from({ length: oddSeries }, () => injectFaults(oddRecordFaults, oddRandom)),
  ]);
  deployment.store.mode = StoreMode.up;
  if (options.changesCapacity) {
    deployment.runners.forEach((runner) => {
      runner.resize(runnerCapacity);
      runner.register(deployment.store, 'ready');
    });
  }
  await clients.stop();
  await waitForLateCalls(deployment);
  const violations = [...clients.violations, ...(await checkReadiness(deployment))];
  violations.push(...(await checkJobs(deployment, clients)));
  violations.push(...clients.findUnwantedRuns());
  violations.push(...findOwnEnds(deployment));
  violations.push(...deployment.findInvariantViolations());
  clearInterval(supervisor);
  return {
    seed: options.seed,
    faults: injectedFaults,
    jobs: clients.jobs.length,
    accepted: clients.jobs.filter((job) => job.isAccepted).length,
    violations,
    logs: violations.length > 0 ? `${deployment.logs}\n${deployment.runnerTrace}` : '',
  };
}

/** Waits until all late calls are carried out and what they started has ended or is renewed. */
async function waitForLateCalls({ runners }: TestDeployment): Promise<void> {
  const hasLateCalls = (): boolean => runners.some(({ lateCallCount }) => lateCallCount > 0);
  if (!hasLateCalls()) {
    return;
  }
  while (hasLateCalls()) {
    await delay(100);
  }
  await delay(leaseMs);
}

/** Processes that no signal has ended. */
function findOwnEnds({ instances }: TestDeployment): string[] {
  return instances.flatMap(({ name, ownEnds }) =>
    ownEnds.map((end) => `${name}: ended by itself, ${end}`),
  );
}

async function checkReadiness(deployment: TestDeployment): Promise<string[]> {
  const results = await Promise.allSettled(
    deployment.instances.map((instance) => deployment.waitUntilReady(instance)),
  );
  return results.flatMap((result, index) => {
    const instance = deployment.instances[index];
    const processState =
      instance?.isAlive === true ? 'alive' : `exited with code ${instance?.exitCode}`;
    return result.status === 'fulfilled'
      ? []
      : [`${instance?.name}: not ready after the faults, ${processState}`];
  });
}

/** Failed runs of a gang, or the most of one of its tasks if they start singly. */
function countFailedRuns({ isGang }: ClientJob, runs: readonly ObservedRun[]): number {
  const failed = runs.filter(({ outcome }) => outcome === 'failed');
  const groupOf = ({ task }: ObservedRun): string => (isGang ? '' : task);
  const groups = [...new Set(failed.map(groupOf))];
  const countRuns = (group: string): number =>
    new Set(failed.filter((each) => groupOf(each) === group).map(({ run }) => run)).size;
  return Math.max(0, ...groups.map(countRuns));
}

async function checkJobs(deployment: TestDeployment, clients: JobClients): Promise<string[]> {
  const violations: string[] = [];
  const [instance] = deployment.instances as [InstanceProcess];
  const endBy = Date.now() + settleTimeoutMs;
  const finalStates = ['completed', 'failed', 'cancelled'];
  for (const job of clients.jobs) {
    const runs = deployment.observedRuns.filter(({ task }) => task.startsWith(job.id));
    if (job.isRefused && runs.length > 0) {
      violations.push(`${job.id}: job was refused but ran`);
    }
    if (!job.isAccepted) {
      continue;
    }
    const remainingMs = Math.max(0, endBy - Date.now());
    const state = await deployment.waitForState(instance, job.id, finalStates, remainingMs);
    const failed = countFailedRuns(job, runs);
    const crashes = runs.filter(({ hasCrashedRunner }) => hasCrashedRunner).length;
    const isLegitimateEnd =
      (state === 'failed' && (failed >= maxAttempts || crashes >= minCrashes)) ||
      (state === 'cancelled' && job.isCancelled);
    if (state !== 'completed' && !isLegitimateEnd) {
      violations.push(`${job.id}: job was accepted but its final state is ${state}`);
    }
  }
  await delay(200);
  deployment.runners.forEach((runner) => {
    runner.tasks.forEach((task) => {
      const job = clients.jobs.find(({ id }) => task.startsWith(id));
      if (job?.isCancelled === true) {
        violations.push(`${task}: task still runs although its job was cancelled`);
      }
    });
  });
  return violations;
}
