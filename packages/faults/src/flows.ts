import { Adjacency } from '@apricothoist/config';
import type { Shape } from '@apricothoist/scheduler';

import type { VirtualSimulation } from './VirtualSimulation.js';
import { acceleratorsPerWorker } from './virtualDeployment.js';

/** An operation of the system. Faults are injected at various steps of it. */
export interface Flow {
  readonly name: string;
  /** Brings the simulation into the state in which the flow starts. */
  readonly prepare: (simulation: VirtualSimulation) => Promise<void>;
  /** Starts the flow, which then continues in the background. */
  readonly start: (simulation: VirtualSimulation) => Promise<void>;
  /** Describes what the flow has not reached yet; undefined once it has. Checked after healing. */
  readonly findUnmetGoal: (simulation: VirtualSimulation) => string | undefined;
}

const rackPairShape: Shape = {
  workers: 2,
  acceleratorsPerWorker,
  adjacency: Adjacency.rack,
};
const wideShape: Shape = { workers: 5, acceleratorsPerWorker, adjacency: Adjacency.any };
const pairShape: Shape = { workers: 2, acceleratorsPerWorker, adjacency: Adjacency.any };
const changedRequestLimit = 90;
const singleShape: Shape = { workers: 1, acceleratorsPerWorker: 4, adjacency: Adjacency.any };
const singleIds = ['single-1', 'single-2', 'single-3', 'single-4'];
const startLimitMs = 10_000;

async function noPreparation(): Promise<void> {
  // The flow starts from the initial state.
}

/**
 * Describes a job that has not succeeded yet. A job that the plan does not contain is no failure:
 * its submission may have been rejected while the store was unavailable.
 */
function describeUnfinishedJob(simulation: VirtualSimulation, jobId: string): string | undefined {
  const state = simulation.jobState(jobId);
  return state === undefined || state === 'succeeded' ? undefined : `job ${jobId} is ${state}`;
}

export const flows: readonly Flow[] = [
  {
    name: 'request',
    prepare: noPreparation,
    start: async (simulation) => {
      const [first, second] = simulation.liveInstances('a');
      if (first !== undefined && second !== undefined) {
        void simulation.caller.send(first, 'dispatch-1', 'borrowing');
        void simulation.caller.send(second, 'dispatch-1', 'borrowing');
      }
    },
    findUnmetGoal: () => undefined,
  },
  {
    name: 'gang start',
    prepare: noPreparation,
    start: async (simulation) => {
      void simulation.submit('gang', 'guaranteed', rackPairShape);
    },
    findUnmetGoal: (simulation) => describeUnfinishedJob(simulation, 'gang'),
  },
  {
    name: 'many singles',
    prepare: noPreparation,
    start: async (simulation) => {
      singleIds.forEach((id) => void simulation.submit(id, 'guaranteed', singleShape));
    },
    findUnmetGoal: (simulation) =>
      singleIds
        .map((id) => describeUnfinishedJob(simulation, id))
        .find((text) => text !== undefined),
  },
  {
    name: 'gang run',
    prepare: async (simulation) => {
      await simulation.runUntilSettled(simulation.submit('gang', 'borrowing', pairShape));
      await simulation.runUntil(() => isRunning(simulation, 'gang'), startLimitMs);
      await simulation.run(1_000);
    },
    start: noPreparation,
    findUnmetGoal: (simulation) => describeUnfinishedJob(simulation, 'gang'),
  },
  {
    name: 'reclaim',
    prepare: async (simulation) => {
      await simulation.runUntilSettled(simulation.submit('wide', 'borrowing', wideShape));
      await simulation.runUntil(() => isRunning(simulation, 'wide'), startLimitMs);
      await simulation.run(1_000);
    },
    start: async (simulation) => {
      void simulation.submit('gang', 'guaranteed', rackPairShape);
    },
    findUnmetGoal: (simulation) =>
      describeUnfinishedJob(simulation, 'gang') ?? describeUnfinishedJob(simulation, 'wide'),
  },
  {
    name: 'configuration change',
    prepare: noPreparation,
    start: async (simulation) => {
      void simulation.publish(changedRequestLimit);
    },
    findUnmetGoal: () => undefined,
  },
  {
    name: 'planned stop',
    prepare: async (simulation) => {
      await simulation.runUntilSettled(simulation.submit('gang', 'borrowing', pairShape));
      await simulation.runUntil(() => isRunning(simulation, 'gang'), startLimitMs);
    },
    start: async (simulation) => {
      const leader = simulation.leader();
      if (leader !== undefined) {
        simulation.stop(leader).catch((error: unknown) => simulation.errors.push(error));
      }
    },
    findUnmetGoal: (simulation) => describeUnfinishedJob(simulation, 'gang'),
  },
  {
    name: 'instance start',
    prepare: async (simulation) => {
      await simulation.runUntilSettled(simulation.submit('gang', 'borrowing', pairShape));
      await simulation.runUntil(() => isRunning(simulation, 'gang'), startLimitMs);
    },
    start: async (simulation) => {
      simulation.addInstance('a-entry-new', 'a');
    },
    findUnmetGoal: (simulation) => {
      const added = simulation.instances.find((instance) => instance.name === 'a-entry-new');
      const isUp = added === undefined || !added.isAlive || added.core.isReady;
      return isUp ? describeUnfinishedJob(simulation, 'gang') : 'the new instance is not ready';
    },
  },
];

function isRunning(simulation: VirtualSimulation, jobId: string): boolean {
  const attempts = simulation.storedPlan()?.attempts ?? [];
  return attempts.some((attempt) => attempt.jobId === jobId && attempt.state === 'running');
}
