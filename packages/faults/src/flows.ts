import { Adjacency } from '@apricothoist/config';
import type { Shape } from '@apricothoist/scheduler';

import type { VirtualWorld } from './VirtualWorld.js';
import { acceleratorsPerWorker } from './virtualDeployment.js';

/** Something the system does, at any step of which a fault may come. */
export interface Flow {
  readonly name: string;
  /** Brings the world to the point before the flow. */
  readonly prepare: (world: VirtualWorld) => Promise<void>;
  /** Starts the flow; it goes on by itself. */
  readonly begin: (world: VirtualWorld) => Promise<void>;
  /** What must have come about in the end, once faults are healed; undefined when it has. */
  readonly pending: (world: VirtualWorld) => string | undefined;
}

const pair: Shape = {
  workers: 2,
  acceleratorsPerWorker,
  adjacency: Adjacency.rack,
};
const wide: Shape = { workers: 5, acceleratorsPerWorker, adjacency: Adjacency.any };
const two: Shape = { workers: 2, acceleratorsPerWorker, adjacency: Adjacency.any };
const limitAfter = 90;
const single: Shape = { workers: 1, acceleratorsPerWorker: 4, adjacency: Adjacency.any };
const singleIds = ['single-1', 'single-2', 'single-3', 'single-4'];
const startLimitMs = 10_000;

async function nothing(): Promise<void> {
  // The world is ready as it is.
}

/** The job may have been refused outright while the store was down; then it must not be there. */
function jobPending(world: VirtualWorld, jobId: string): string | undefined {
  const state = world.jobState(jobId);
  return state === undefined || state === 'succeeded' ? undefined : `job ${jobId} is ${state}`;
}

export const flows: readonly Flow[] = [
  {
    name: 'request',
    prepare: nothing,
    begin: async (world) => {
      const [first, second] = world.liveInstances('a');
      if (first !== undefined && second !== undefined) {
        void world.caller.send(first, 'dispatch-1', 'borrowing');
        void world.caller.send(second, 'dispatch-1', 'borrowing');
      }
    },
    pending: () => undefined,
  },
  {
    name: 'gang start',
    prepare: nothing,
    begin: async (world) => {
      void world.submit('gang', 'guaranteed', pair);
    },
    pending: (world) => jobPending(world, 'gang'),
  },
  {
    name: 'many singles',
    prepare: nothing,
    begin: async (world) => {
      singleIds.forEach((id) => void world.submit(id, 'guaranteed', single));
    },
    pending: (world) =>
      singleIds.map((id) => jobPending(world, id)).find((text) => text !== undefined),
  },
  {
    name: 'gang run',
    prepare: async (world) => {
      await world.complete(world.submit('gang', 'borrowing', two));
      await world.runUntil(() => isRunning(world, 'gang'), startLimitMs);
      await world.run(1_000);
    },
    begin: nothing,
    pending: (world) => jobPending(world, 'gang'),
  },
  {
    name: 'reclaim',
    prepare: async (world) => {
      await world.complete(world.submit('wide', 'borrowing', wide));
      await world.runUntil(() => isRunning(world, 'wide'), startLimitMs);
      await world.run(1_000);
    },
    begin: async (world) => {
      void world.submit('gang', 'guaranteed', pair);
    },
    pending: (world) => jobPending(world, 'gang') ?? jobPending(world, 'wide'),
  },
  {
    name: 'configuration change',
    prepare: nothing,
    begin: async (world) => {
      void world.publish(limitAfter);
    },
    pending: () => undefined,
  },
  {
    name: 'planned stop',
    prepare: async (world) => {
      await world.complete(world.submit('gang', 'borrowing', two));
      await world.runUntil(() => isRunning(world, 'gang'), startLimitMs);
    },
    begin: async (world) => {
      const leader = world.leader();
      if (leader !== undefined) {
        world.stop(leader).catch((error: unknown) => world.errors.push(error));
      }
    },
    pending: (world) => jobPending(world, 'gang'),
  },
  {
    name: 'instance start',
    prepare: async (world) => {
      await world.complete(world.submit('gang', 'borrowing', two));
      await world.runUntil(() => isRunning(world, 'gang'), startLimitMs);
    },
    begin: async (world) => {
      world.addInstance('a-entry-new', 'a');
    },
    pending: (world) => {
      const added = world.instances.find((instance) => instance.name === 'a-entry-new');
      const isUp = added === undefined || !added.isAlive || added.core.isReady;
      return isUp ? jobPending(world, 'gang') : 'the new instance is not ready';
    },
  },
];

function isRunning(world: VirtualWorld, jobId: string): boolean {
  const attempts = world.storedPlan()?.attempts ?? [];
  return attempts.some((attempt) => attempt.jobId === jobId && attempt.state === 'running');
}
