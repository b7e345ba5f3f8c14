import type { Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { InstanceProcess, TestDeployment } from '@apricothoist/site/testing';
import { StoreMode } from '@apricothoist/site/testing';
import { RelayMode } from '@apricothoist/testing';

/** What a fault may do, and where. */
export interface Scene {
  readonly site: TestDeployment;
  readonly random: Random;
}

/** Injects a fault from outside the processes, and heals it before it returns. */
export type Fault = (scene: Scene) => Promise<void>;

function anyInstance({ site, random }: Scene): InstanceProcess {
  return random.pick(site.instances);
}

function holderOf(scene: Scene): InstanceProcess {
  return scene.site.holder ?? anyInstance(scene);
}

async function pause(instance: InstanceProcess, ms: number): Promise<void> {
  instance.signal('SIGSTOP');
  await delay(ms);
  instance.signal('SIGCONT');
}

async function storeMode({ site, random }: Scene, mode: StoreMode): Promise<void> {
  site.store.mode = mode;
  site.store.lostResponseShare = 0.5;
  await delay(500 + random.below(4_500));
  site.store.mode = StoreMode.up;
}

async function cutFromStore(scene: Scene, mode: RelayMode): Promise<void> {
  const { relay } = anyInstance(scene);
  relay.setMode(mode);
  await delay(500 + scene.random.below(5_000));
  relay.setMode(RelayMode.open);
}

/** All faults by name. */
export const faults: Readonly<Record<string, Fault>> = {
  killHolder: async (scene) => {
    holderOf(scene).signal('SIGKILL');
  },
  killAny: async (scene) => {
    anyInstance(scene).signal('SIGKILL');
  },
  killAll: async ({ site }) => {
    site.instances.forEach((instance) => instance.signal('SIGKILL'));
  },
  stopAny: async (scene) => {
    const instance = anyInstance(scene);
    instance.signal('SIGTERM');
    if (!(await instance.waitForExit())) {
      // Another fault had paused it: the platform kills it after its grace.
      instance.signal('SIGKILL');
    }
  },
  pauseHolder: (scene) => pause(holderOf(scene), 500 + scene.random.below(5_000)),
  pauseAny: (scene) => pause(anyInstance(scene), 500 + scene.random.below(5_000)),
  reloadAll: async ({ site }) => {
    site.instances.forEach((instance) => instance.signal('SIGHUP'));
  },
  storeSilent: (scene) => storeMode(scene, StoreMode.unresponsive),
  storeBusy: (scene) => storeMode(scene, StoreMode.busy),
  storeLost: (scene) => storeMode(scene, StoreMode.responsesLost),
  storeCompacted: async ({ site }) => site.store.compact(),
  cutSilently: (scene) => cutFromStore(scene, RelayMode.silent),
  cutWithReset: (scene) => cutFromStore(scene, RelayMode.closed),
  silenceRunner: async ({ site, random }) => {
    const runner = random.pick(site.runners);
    runner.isUnresponsive = true;
    await delay(500 + random.below(8_000));
    runner.isUnresponsive = false;
  },
  failRunner: async ({ site, random }) => {
    const runner = random.pick(site.runners);
    runner.failsAllTasks = true;
    await delay(500 + random.below(3_000));
    runner.failsAllTasks = false;
  },
  restartRunner: async ({ site, random }) => {
    const runner = random.pick(site.runners);
    runner.restart();
    await delay(random.below(1_500));
    runner.register(site.store, 'ready');
  },
  drainRunner: async ({ site, random }) => {
    const runner = random.pick(site.runners);
    runner.register(site.store, 'draining');
    await delay(1_000 + random.below(3_000));
    runner.register(site.store, 'ready');
  },
};
