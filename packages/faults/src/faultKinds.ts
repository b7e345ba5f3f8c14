import { Adjacency } from '@apricothoist/config';

import type { VirtualWorld, WorldInstance } from './VirtualWorld.js';

/** A fault that is brought about, and how the world gets over it. */
export interface FaultKind {
  readonly name: string;
  /** Brings the fault about. */
  readonly strike: (world: VirtualWorld) => void;
  /** Ends it after `lengthMs`; some faults end by themselves. */
  readonly heal: (world: VirtualWorld) => void;
  readonly lengthMs: number;
}

const shortMs = 5_000;
const longMs = 20_000;
const slowMs = 700;
const waveSize = 12;
const storeName = 'store';

const single = { workers: 1, acceleratorsPerWorker: 2, adjacency: Adjacency.any };

function nothing(): void {
  // The fault ends by itself or lasts.
}

/** The first instance that is not the leader of data centre a. */
function follower(world: VirtualWorld): WorldInstance | undefined {
  const leader = world.leader();
  return world.liveInstances('a').find((instance) => instance !== leader);
}

function kill(world: VirtualWorld, instance: WorldInstance | undefined): void {
  // One instance of a data centre stays: the platform replaces the other in time.
  if (instance !== undefined && world.liveInstances(instance.dataCentre).length > 1) {
    world.kill(instance);
    setTimeout(() => world.delist(instance.name), shortMs);
  }
}

/** Worker on which the newest plan runs something, or any. */
function busyWorker(world: VirtualWorld): string {
  const tasks = world.storedPlan()?.attempts.flatMap((attempt) => attempt.tasks);
  return tasks?.[0]?.workerId ?? 'a-worker-0';
}

// The fault has to heal what it struck, though the leader may have changed meanwhile.
const struck = new WeakMap<VirtualWorld, string[]>();

function remember(world: VirtualWorld, names: readonly string[]): void {
  struck.set(world, [...(struck.get(world) ?? []), ...names]);
}

function recall(world: VirtualWorld): string[] {
  return struck.get(world) ?? [];
}

function pause(world: VirtualWorld, instance: WorldInstance | undefined): void {
  if (instance !== undefined) {
    remember(world, [instance.name]);
    world.network.pause(instance.name);
  }
}

function resumeAll(world: VirtualWorld): void {
  recall(world).forEach((name) => world.network.resume(name));
}

function cutOff(world: VirtualWorld, name: string, other: string, isBothWays: boolean): void {
  remember(world, [name]);
  world.network.cut(other, name);
  if (isBothWays) {
    world.network.cut(name, other);
  }
}

function healAll(world: VirtualWorld): void {
  const others = [
    storeName,
    'list',
    ...world.instances.map((instance) => instance.name),
    ...world.workers.keys(),
    ...world.endpoints.keys(),
  ];
  recall(world).forEach((name) => {
    others.forEach((other) => {
      world.network.heal(name, other);
      world.network.heal(other, name);
    });
  });
}

export const faultKinds: readonly FaultKind[] = [
  { name: 'none', strike: nothing, heal: nothing, lengthMs: 0 },
  {
    name: 'leader killed',
    strike: (world) => kill(world, world.leader()),
    heal: nothing,
    lengthMs: shortMs,
  },
  {
    name: 'instance killed',
    strike: (world) => kill(world, follower(world)),
    heal: nothing,
    lengthMs: shortMs,
  },
  {
    name: 'leader paused past its lease',
    strike: (world) => pause(world, world.leader()),
    heal: resumeAll,
    lengthMs: longMs,
  },
  {
    name: 'instance paused',
    strike: (world) => pause(world, follower(world)),
    heal: resumeAll,
    lengthMs: shortMs,
  },
  {
    name: 'leader cut from the store',
    strike: (world) => cutOff(world, world.leader()?.name ?? '', storeName, true),
    heal: healAll,
    lengthMs: longMs,
  },
  {
    name: 'answers of the store to the leader lost',
    strike: (world) => cutOff(world, world.leader()?.name ?? '', storeName, false),
    heal: healAll,
    lengthMs: shortMs,
  },
  {
    name: 'data centre cut off',
    strike: (world) => {
      const inside = world.liveInstances('a').map((instance) => instance.name);
      const outside = [...world.liveInstances('b').map((item) => item.name), storeName, 'list'];
      inside.forEach((name) => outside.forEach((other) => cutOff(world, name, other, true)));
    },
    heal: healAll,
    lengthMs: longMs,
  },
  {
    name: 'busy worker cut from the leader',
    strike: (world) => cutOff(world, busyWorker(world), world.leader()?.name ?? '', true),
    heal: healAll,
    lengthMs: longMs,
  },
  {
    name: 'busy worker cut from all instances',
    strike: (world) => {
      const worker = busyWorker(world);
      world.instances.forEach((instance) => cutOff(world, instance.name, worker, true));
    },
    heal: healAll,
    lengthMs: 1.5 * longMs,
  },
  {
    name: 'busy worker restarted',
    strike: (world) => world.workers.get(busyWorker(world))?.restart(world.now),
    heal: nothing,
    lengthMs: 0,
  },
  {
    name: 'busy worker lost for good',
    strike: (world) => {
      const worker = busyWorker(world);
      world.workers.get(worker)?.restart(world.now);
      world.network.kill(worker);
      setTimeout(() => world.delist(worker), shortMs);
    },
    heal: nothing,
    lengthMs: shortMs,
  },
  {
    name: 'worker failing all tasks',
    strike: (world) => world.failingWorkers.add(busyWorker(world)),
    heal: (world) => world.failingWorkers.clear(),
    lengthMs: longMs,
  },
  {
    name: 'store down',
    strike: (world) => {
      world.store.faults.isDown = true;
    },
    heal: (world) => {
      world.store.faults.isDown = false;
    },
    lengthMs: longMs,
  },
  {
    name: 'store slow',
    strike: (world) => world.network.slow(storeName, slowMs),
    heal: (world) => world.network.slow(storeName, 0),
    lengthMs: longMs,
  },
  {
    name: 'answer lost after the write',
    strike: (world) => {
      world.store.faults.lostAnswers = 1;
    },
    heal: nothing,
    lengthMs: 0,
  },
  {
    name: 'stale reads',
    strike: (world) => {
      world.store.faults.staleReads = 6;
    },
    heal: nothing,
    lengthMs: 0,
  },
  {
    name: 'operators race',
    strike: (world) => {
      const [first, second] = world.liveInstances();
      void world.publish(81, first);
      void world.publish(82, second);
    },
    heal: nothing,
    lengthMs: 0,
  },
  {
    name: 'burst and cancellation wave',
    strike: (world) => {
      const ids = Array.from({ length: waveSize }, (_, index) => `wave-${index}`);
      ids.forEach((id) => void world.submit(id, 'borrowing', single));
    },
    heal: (world) => {
      const ids = Array.from({ length: waveSize }, (_, index) => `wave-${index}`);
      ids.forEach((id) => void world.cancel(id));
    },
    lengthMs: shortMs,
  },
  {
    name: 'endpoint answers late',
    strike: (world) => {
      const endpoint = world.endpoints.get('a-endpoint-0');
      if (endpoint !== undefined) {
        endpoint.faults.delayMs = 2_500;
      }
    },
    heal: (world) => {
      const endpoint = world.endpoints.get('a-endpoint-0');
      if (endpoint !== undefined) {
        endpoint.faults.delayMs = 0;
      }
    },
    lengthMs: shortMs,
  },
  {
    name: 'endpoint silent',
    strike: (world) => {
      world.liveInstances('a').forEach((instance) => {
        cutOff(world, 'a-endpoint-0', instance.name, false);
        world.network.cut('a-endpoint-0', instance.name);
      });
    },
    heal: healAll,
    lengthMs: shortMs,
  },
  {
    name: 'endpoint truncates answers',
    strike: (world) => {
      const endpoint = world.endpoints.get('a-endpoint-1');
      if (endpoint !== undefined) {
        endpoint.faults.isTruncating = true;
      }
    },
    heal: (world) => {
      const endpoint = world.endpoints.get('a-endpoint-1');
      if (endpoint !== undefined) {
        endpoint.faults.isTruncating = false;
      }
    },
    lengthMs: shortMs,
  },
  {
    // The endpoint tells one instance, which has to tell the others; the list is half a minute late.
    name: 'endpoint leaves, the list lags',
    strike: (world) => {
      world.listLagMs = 30_000;
      const endpoint = world.endpoints.get('a-endpoint-2');
      if (endpoint !== undefined) {
        endpoint.willSayLeaving = true;
      }
      world.markLeaving('a-endpoint-2');
    },
    heal: (world) => {
      world.listLagMs = 0;
    },
    lengthMs: shortMs,
  },
  {
    name: 'endpoint leaves',
    strike: (world) => world.markLeaving('a-endpoint-2'),
    heal: nothing,
    lengthMs: shortMs,
  },
];
