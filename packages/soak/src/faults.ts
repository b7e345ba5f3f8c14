import type { Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { InstanceProcess, TestDeployment } from '@apricothoist/site/testing';
import { StoreMode } from '@apricothoist/site/testing';
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
