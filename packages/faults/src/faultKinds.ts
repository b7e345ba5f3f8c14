import { Adjacency } from '@apricothoist/config';

import type { VirtualSimulation, SimulatedInstance } from './VirtualSimulation.js';

/** A kind of fault: how it is injected, how long it lasts and how it is healed. */
export interface FaultKind {
  readonly name: string;
  /** Injects the fault. */
  readonly inject: (simulation: VirtualSimulation) => void;
  /** Called after `durationMs`. Does nothing for faults that are transient or permanent. */
  readonly heal: (simulation: VirtualSimulation) => void;
  readonly durationMs: number;
}

const shortMs = 5_000;
const longMs = 20_000;
const slowStoreLatencyMs = 700;
const burstJobCount = 12;
const storeName = 'store';

const singleShape = { workers: 1, acceleratorsPerWorker: 2, adjacency: Adjacency.any };

function noop(): void {
  // The fault ends by itself or is permanent.
}

/** The first live instance of data centre a that is not its leader. */
function follower(simulation: VirtualSimulation): SimulatedInstance | undefined {
  const leader = simulation.leader();
  return simulation.liveInstances('a').find((instance) => instance !== leader);
}

function killInstance(
  simulation: VirtualSimulation,
  instance: SimulatedInstance | undefined,
): void {
  // Never kills the last instance of a data centre: the platform replaces a killed one in time.
  if (instance !== undefined && simulation.liveInstances(instance.dataCentre).length > 1) {
    simulation.kill(instance);
    setTimeout(() => simulation.removeFromList(instance.name), shortMs);
  }
}

/** A worker with a task in the stored plan, or `a-worker-0` if the plan has no task. */
function busyWorker(simulation: VirtualSimulation): string {
  const tasks = simulation.storedPlan()?.attempts.flatMap((attempt) => attempt.tasks);
  return tasks?.[0]?.workerId ?? 'a-worker-0';
}

// Names that a fault affected. The leader may change while the fault lasts, so `heal` cannot look up
// the affected instance again.
const affectedNames = new WeakMap<VirtualSimulation, string[]>();

function recordAffected(simulation: VirtualSimulation, names: readonly string[]): void {
  affectedNames.set(simulation, [...(affectedNames.get(simulation) ?? []), ...names]);
}

function affectedNamesOf(simulation: VirtualSimulation): string[] {
  return affectedNames.get(simulation) ?? [];
}

function pauseInstance(
  simulation: VirtualSimulation,
  instance: SimulatedInstance | undefined,
): void {
  if (instance !== undefined) {
    recordAffected(simulation, [instance.name]);
    simulation.network.pause(instance.name);
  }
}

function resumeAffected(simulation: VirtualSimulation): void {
  affectedNamesOf(simulation).forEach((name) => simulation.network.resume(name));
}

function cutConnection(
  simulation: VirtualSimulation,
  name: string,
  other: string,
  isBothWays: boolean,
): void {
  recordAffected(simulation, [name]);
  simulation.network.cutLink(other, name);
  if (isBothWays) {
    simulation.network.cutLink(name, other);
  }
}

function healAffectedLinks(simulation: VirtualSimulation): void {
  const others = [
    storeName,
    'list',
    ...simulation.instances.map((instance) => instance.name),
    ...simulation.workers.keys(),
    ...simulation.endpoints.keys(),
  ];
  affectedNamesOf(simulation).forEach((name) => {
    others.forEach((other) => {
      simulation.network.healLink(name, other);
      simulation.network.healLink(other, name);
    });
  });
}

export const faultKinds: readonly FaultKind[] = [
  { name: 'none', inject: noop, heal: noop, durationMs: 0 },
  {
    name: 'leader killed',
    inject: (simulation) => killInstance(simulation, simulation.leader()),
    heal: noop,
    durationMs: shortMs,
  },
  {
    name: 'instance killed',
    inject: (simulation) => killInstance(simulation, follower(simulation)),
    heal: noop,
    durationMs: shortMs,
  },
  {
    name: 'leader paused past its lease',
    inject: (simulation) => pauseInstance(simulation, simulation.leader()),
    heal: resumeAffected,
    durationMs: longMs,
  },
  {
    name: 'instance paused',
    inject: (simulation) => pauseInstance(simulation, follower(simulation)),
    heal: resumeAffected,
    durationMs: shortMs,
  },
  {
    name: 'leader cut from the store',
    inject: (simulation) =>
      cutConnection(simulation, simulation.leader()?.name ?? '', storeName, true),
    heal: healAffectedLinks,
    durationMs: longMs,
  },
  {
    name: 'answers of the store to the leader lost',
    inject: (simulation) =>
      cutConnection(simulation, simulation.leader()?.name ?? '', storeName, false),
    heal: healAffectedLinks,
    durationMs: shortMs,
  },
  {
    name: 'data centre cut off',
    inject: (simulation) => {
      const inside = simulation.liveInstances('a').map((instance) => instance.name);
      const outside = [
        ...simulation.liveInstances('b').map((item) => item.name),
        storeName,
        'list',
      ];
      inside.forEach((name) =>
        outside.forEach((other) => cutConnection(simulation, name, other, true)),
      );
    },
    heal: healAffectedLinks,
    durationMs: longMs,
  },
  {
    name: 'busy worker cut from the leader',
    inject: (simulation) =>
      cutConnection(simulation, busyWorker(simulation), simulation.leader()?.name ?? '', true),
    heal: healAffectedLinks,
    durationMs: longMs,
  },
  {
    name: 'busy worker cut from all instances',
    inject: (simulation) => {
      const worker = busyWorker(simulation);
      simulation.instances.forEach((instance) =>
        cutConnection(simulation, instance.name, worker, true),
      );
    },
    heal: healAffectedLinks,
    durationMs: 1.5 * longMs,
  },
  {
    name: 'busy worker restarted',
    inject: (simulation) => simulation.workers.get(busyWorker(simulation))?.restart(simulation.now),
    heal: noop,
    durationMs: 0,
  },
  {
    name: 'busy worker lost for good',
    inject: (simulation) => {
      const worker = busyWorker(simulation);
      simulation.workers.get(worker)?.restart(simulation.now);
      simulation.network.kill(worker);
      setTimeout(() => simulation.removeFromList(worker), shortMs);
    },
    heal: noop,
    durationMs: shortMs,
  },
  {
    name: 'worker failing all tasks',
    inject: (simulation) => simulation.failingWorkers.add(busyWorker(simulation)),
    heal: (simulation) => simulation.failingWorkers.clear(),
    durationMs: longMs,
  },
  {
    name: 'store down',
    inject: (simulation) => {
      simulation.store.faults.isUnavailable = true;
    },
    heal: (simulation) => {
      simulation.store.faults.isUnavailable = false;
    },
    durationMs: longMs,
  },
  {
    name: 'store slow',
    inject: (simulation) => simulation.network.setAddedLatency(storeName, slowStoreLatencyMs),
    heal: (simulation) => simulation.network.setAddedLatency(storeName, 0),
    durationMs: longMs,
  },
  {
    name: 'answer lost after the write',
    inject: (simulation) => {
      simulation.store.faults.lostResponses = 1;
    },
    heal: noop,
    durationMs: 0,
  },
  {
    name: 'stale reads',
    inject: (simulation) => {
      simulation.store.faults.staleReads = 6;
    },
    heal: noop,
    durationMs: 0,
  },
  {
    name: 'operators race',
    inject: (simulation) => {
      const [first, second] = simulation.liveInstances();
      void simulation.publish(81, first);
      void simulation.publish(82, second);
    },
    heal: noop,
    durationMs: 0,
  },
  {
    name: 'burst and cancellation wave',
    inject: (simulation) => {
      const ids = Array.from({ length: burstJobCount }, (_, index) => `wave-${index}`);
      ids.forEach((id) => void simulation.submit(id, 'borrowing', singleShape));
    },
    heal: (simulation) => {
      const ids = Array.from({ length: burstJobCount }, (_, index) => `wave-${index}`);
      ids.forEach((id) => void simulation.cancel(id));
    },
    durationMs: shortMs,
  },
  {
    name: 'endpoint answers late',
    inject: (simulation) => {
      const endpoint = simulation.endpoints.get('a-endpoint-0');
      if (endpoint !== undefined) {
        endpoint.faults.delayMs = 2_500;
      }
    },
    heal: (simulation) => {
      const endpoint = simulation.endpoints.get('a-endpoint-0');
      if (endpoint !== undefined) {
        endpoint.faults.delayMs = 0;
      }
    },
    durationMs: shortMs,
  },
  {
    name: 'endpoint silent',
    inject: (simulation) => {
      simulation.liveInstances('a').forEach((instance) => {
        cutConnection(simulation, 'a-endpoint-0', instance.name, false);
        simulation.network.cutLink('a-endpoint-0', instance.name);
      });
    },
    heal: healAffectedLinks,
    durationMs: shortMs,
  },
  {
    name: 'endpoint truncates answers',
    inject: (simulation) => {
      const endpoint = simulation.endpoints.get('a-endpoint-1');
      if (endpoint !== undefined) {
        endpoint.faults.isTruncating = true;
      }
    },
    heal: (simulation) => {
      const endpoint = simulation.endpoints.get('a-endpoint-1');
      if (endpoint !== undefined) {
        endpoint.faults.isTruncating = false;
      }
    },
    durationMs: shortMs,
  },
  {
    // The endpoint notifies only one instance, which has to notify the others: the list lags by 30 s.
    name: 'endpoint leaves, the list lags',
    inject: (simulation) => {
      simulation.listLagMs = 30_000;
      const endpoint = simulation.endpoints.get('a-endpoint-2');
      if (endpoint !== undefined) {
        endpoint.refusesNextAsLeaving = true;
      }
      simulation.markLeaving('a-endpoint-2');
    },
    heal: (simulation) => {
      simulation.listLagMs = 0;
    },
    durationMs: shortMs,
  },
  {
    name: 'endpoint leaves',
    inject: (simulation) => simulation.markLeaving('a-endpoint-2'),
    heal: noop,
    durationMs: shortMs,
  },
];
