import type { Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { CallFaultShares, InstanceProcess, TestDeployment } from '@apricothoist/site/testing';
import { CallFaults, RunnerCall, StoreMode } from '@apricothoist/site/testing';
import { RelayMode } from '@apricothoist/testing';

/** Deployment that a fault acts on, and its source of randomness. */
export interface FaultContext {
  readonly deployment: TestDeployment;
  readonly random: Random;
}

/**
 * Injects a fault from outside the processes and removes it before it returns. Processes that it
 * killed are restarted by the supervisor of the run.
 */
export type Fault = (context: FaultContext) => Promise<void>;

/** Accelerators of a runner at first. */
export const runnerCapacity = 8;
/** Milliseconds between two registry entries of a runner. */
const heartbeatMs = 1_500;
/** Milliseconds after its last write at which the entry of a silent runner expires. */
const entryTtlMs = 3 * heartbeatMs;

function randomInstance({ deployment, random }: FaultContext): InstanceProcess {
  return random.pick(deployment.instances);
}

function holderOrRandomInstance(context: FaultContext): InstanceProcess {
  return context.deployment.holder ?? randomInstance(context);
}

async function pauseProcess(instance: InstanceProcess, ms: number): Promise<void> {
  instance.signal('SIGSTOP');
  await delay(ms);
  instance.signal('SIGCONT');
}

async function applyStoreMode(
  { deployment, random }: FaultContext,
  mode: StoreMode,
): Promise<void> {
  deployment.store.mode = mode;
  deployment.store.lostResponseShare = 0.5;
  await delay(500 + random.below(4_500));
  deployment.store.mode = StoreMode.up;
}

async function disruptStoreConnection(context: FaultContext, mode: RelayMode): Promise<void> {
  const { relay } = randomInstance(context);
  relay.setMode(mode);
  await delay(500 + context.random.below(5_000));
  relay.setMode(RelayMode.open);
}

/** All faults by the name that the report of a run prints. */
export const faults: Readonly<Record<string, Fault>> = {
  killHolder: async (context) => {
    holderOrRandomInstance(context).signal('SIGKILL');
  },
  killAny: async (context) => {
    randomInstance(context).signal('SIGKILL');
  },
  killAll: async ({ deployment }) => {
    deployment.instances.forEach((instance) => instance.signal('SIGKILL'));
  },
  stopAny: async (context) => {
    const instance = randomInstance(context);
    instance.signal('SIGTERM');
    if (!(await instance.waitForExit())) {
      // A concurrent fault has paused it. The platform kills a process after its grace period.
      instance.signal('SIGKILL');
    }
  },
  pauseHolder: (context) =>
    pauseProcess(holderOrRandomInstance(context), 500 + context.random.below(5_000)),
  pauseAny: (context) => pauseProcess(randomInstance(context), 500 + context.random.below(5_000)),
  reloadAll: async ({ deployment }) => {
    deployment.instances.forEach((instance) => instance.signal('SIGHUP'));
  },
  storeUnresponsive: (context) => applyStoreMode(context, StoreMode.unresponsive),
  storeBusy: (context) => applyStoreMode(context, StoreMode.busy),
  storeResponsesLost: (context) => applyStoreMode(context, StoreMode.responsesLost),
  storeCompacted: async ({ deployment }) => deployment.store.compact(),
  storeConnectionUnresponsive: (context) => disruptStoreConnection(context, RelayMode.unresponsive),
  storeConnectionClosed: (context) => disruptStoreConnection(context, RelayMode.closed),
  hangRunner: async ({ deployment, random }) => {
    const runner = random.pick(deployment.runners);
    runner.isUnresponsive = true;
    await delay(500 + random.below(8_000));
    runner.isUnresponsive = false;
  },
  failRunner: async ({ deployment, random }) => {
    const runner = random.pick(deployment.runners);
    runner.failsAllTasks = true;
    await delay(500 + random.below(3_000));
    runner.failsAllTasks = false;
  },
  restartRunner: async ({ deployment, random }) => {
    const runner = random.pick(deployment.runners);
    runner.restart();
    await delay(random.below(1_500));
    runner.register(deployment.store, 'ready');
  },
  drainRunner: async ({ deployment, random }) => {
    const runner = random.pick(deployment.runners);
    runner.register(deployment.store, 'draining');
    await delay(1_000 + random.below(3_000));
    runner.register(deployment.store, 'ready');
  },
};

// Befalls calls to one runner or, as often, to all of them.
async function disruptCalls(
  { deployment, random }: FaultContext,
  shares: Partial<Record<RunnerCall, CallFaultShares>>,
): Promise<void> {
  const callFaults = new CallFaults(() => random.fraction(), shares);
  const isEverywhere = random.fraction() < 0.5;
  const runners = isEverywhere ? deployment.runners : [random.pick(deployment.runners)];
  runners.forEach((runner) => runner.callFaults.add(callFaults));
  await delay(500 + random.below(6_000));
  runners.forEach((runner) => runner.callFaults.delete(callFaults));
}

function sharesOfAllCalls(shares: CallFaultShares): Partial<Record<RunnerCall, CallFaultShares>> {
  return Object.fromEntries(Object.values(RunnerCall).map((call) => [call, shares]));
}

/** Changes of what a runner can hold, which the registry shows up to a heartbeat later. */
export const capacityFaults: Readonly<Record<string, Fault>> = {
  resizeRunner: async ({ deployment, random }) => {
    const runner = random.pick(deployment.runners);
    runner.resize(random.below(1 + runnerCapacity));
    await delay(random.below(heartbeatMs));
    runner.register(deployment.store, 'ready');
    await delay(random.below(4_000));
  },
};

/** Departures of runners, and cuts of draining runners whose registry entries expire. */
export const departureFaults: Readonly<Record<string, Fault>> = {
  leave: async ({ deployment, random }) => {
    const runner = random.pick(deployment.runners);
    runner.register(deployment.store, 'draining');
    await delay(1_000 + random.below(3_000));
    runner.leave(deployment.store);
    await delay(500 + random.below(4_000));
    runner.restart();
    runner.register(deployment.store, 'ready');
  },
  cutDraining: async ({ deployment, random }) => {
    const runner = random.pick(deployment.runners);
    runner.register(deployment.store, 'draining');
    await delay(random.below(entryTtlMs));
    runner.refusesConnections = true;
    runner.closeConnections();
    await delay(runner.registeredAt + entryTtlMs - Date.now());
    if (Date.now() >= runner.registeredAt + entryTtlMs) {
      runner.unregister(deployment.store);
    }
    await delay(random.below(5_000));
    runner.refusesConnections = false;
    runner.register(deployment.store, 'ready');
  },
};

/** Faults of single calls to runners, and a restart that the registry shows late. */
export const callFaults: Readonly<Record<string, Fault>> = {
  lateStarts: (context) => disruptCalls(context, { [RunnerCall.start]: { late: 0.5 } }),
  lateOrRefusedStarts: (context) =>
    disruptCalls(context, { [RunnerCall.start]: { late: 0.4, refused: 0.4 } }),
  lateStops: (context) => disruptCalls(context, { [RunnerCall.stop]: { late: 0.6 } }),
  lateReports: (context) => disruptCalls(context, { [RunnerCall.report]: { late: 0.4 } }),
  lateCalls: (context) => disruptCalls(context, sharesOfAllCalls({ late: 0.3, refused: 0.3 })),
  refusedCalls: (context) => disruptCalls(context, sharesOfAllCalls({ refused: 0.5 })),
  lostResponses: (context) => disruptCalls(context, sharesOfAllCalls({ responseLost: 0.4 })),
  restartRunnerUnregistered: async ({ deployment, random }) => {
    const runner = random.pick(deployment.runners);
    runner.restart();
    await delay(1_500 + random.below(5_000));
    runner.register(deployment.store, 'ready');
  },
};
