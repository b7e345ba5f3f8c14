import { Adjacency } from '@apricothoist/config';

import type { Capacity, WorkerShare } from './Capacity.js';
import { fillBestFit } from './GuaranteeFeasibility.js';
import type { Attempt, Shape } from './Plan.js';

/** A placement and the borrowers that must be preempted for it. */
export interface Reclaim {
  readonly shares: readonly WorkerShare[];
  readonly victims: readonly Attempt[];
  /** Cost of the preemption in accelerator-milliseconds; see `lostWorkOf`. */
  readonly lostWork: number;
}

/** Restart overhead in accelerator-milliseconds for each accelerator of a preempted attempt. */
export const restartCostMs = 5_000;
/** Upper bound on the racks that one search considers. */
const maxRacks = 16;

/**
 * Selects the borrowers to preempt so that a gang fits, minimizing lost work. The selection is
 * greedy for each group of workers, so it is not always the minimum.
 */
export class ReclaimSearch {
  /** @param victims attempts that may be preempted */
  public constructor(private readonly victims: readonly Attempt[]) {}

  /** Candidate reclaims, least lost work first. */
  public find(
    capacity: Capacity,
    shape: Shape,
    avoided: ReadonlySet<number> = new Set(),
  ): Reclaim[] {
    const reclaimable = this.reclaimableCapacity(capacity);
    return findWorkerGroups(reclaimable, shape, avoided)
      .map((workers) => this.reclaimWithin(capacity, workers, shape))
      .filter((reclaim) => reclaim !== undefined)
      .sort((left, right) => left.lostWork - right.lostWork);
  }

  private reclaimableCapacity(capacity: Capacity): Capacity {
    const copy = capacity.clone();
    this.victims.forEach((victim) => releaseTasks(copy, victim));
    return copy;
  }

  private reclaimWithin(
    capacity: Capacity,
    workers: readonly number[],
    shape: Shape,
  ): Reclaim | undefined {
    const trial = capacity.clone();
    const chosen = this.chooseVictims(trial, workers, shape);
    if (chosen === undefined) {
      return undefined;
    }
    const victims = dropUnneededVictims(trial, chosen, workers, shape);
    return {
      shares: fillBestFit(trial, workers, shape),
      victims,
      lostWork: victims.reduce((sum, victim) => sum + lostWorkOf(victim), 0),
    };
  }

  private chooseVictims(
    trial: Capacity,
    workers: readonly number[],
    shape: Shape,
  ): Attempt[] | undefined {
    const targets = new Set(workers);
    const ranked = this.victims
      .map((victim) => ({ victim, cost: costPerUsefulAccelerator(trial, victim, targets) }))
      .filter((entry) => Number.isFinite(entry.cost))
      .sort((left, right) => left.cost - right.cost || (left.victim.id < right.victim.id ? -1 : 1));
    const chosen: Attempt[] = [];
    for (const entry of ranked) {
      if (trial.taskCapacity(workers, shape.acceleratorsPerWorker) >= shape.workers) {
        return chosen;
      }
      releaseTasks(trial, entry.victim);
      chosen.push(entry.victim);
    }
    return trial.taskCapacity(workers, shape.acceleratorsPerWorker) >= shape.workers
      ? chosen
      : undefined;
  }
}

/**
 * Groups of workers that could hold the gang once all victims are preempted: racks by descending
 * capacity, then all workers together unless the gang must stay in one rack.
 */
function findWorkerGroups(
  reclaimable: Capacity,
  shape: Shape,
  avoided: ReadonlySet<number>,
): (readonly number[])[] {
  const racks = reclaimable.racks.map((workers) => workers.filter((item) => !avoided.has(item)));
  const acceleratorsPerTask = shape.acceleratorsPerWorker;
  const suitable = racks
    .map((workers) => ({ workers, tasks: reclaimable.taskCapacity(workers, acceleratorsPerTask) }))
    .filter((entry) => entry.tasks >= shape.workers)
    .sort((left, right) => right.tasks - left.tasks)
    .slice(0, maxRacks)
    .map((entry) => entry.workers);
  if (shape.adjacency === Adjacency.rack) {
    return suitable;
  }
  const all = racks.flat();
  return reclaimable.taskCapacity(all, acceleratorsPerTask) >= shape.workers
    ? [...suitable, all]
    : suitable;
}

/**
 * Accelerator-milliseconds lost if the attempt is preempted now: progress since the last checkpoint
 * plus the restart overhead.
 */
export function lostWorkOf(attempt: Attempt): number {
  const accelerators = attempt.tasks.reduce((sum, task) => sum + task.accelerators, 0);
  const lostMs = Math.max(0, attempt.progressMs - attempt.checkpointMs);
  return accelerators * (lostMs + restartCostMs);
}

// Lost work for each accelerator that the preemption frees on the target workers; Infinity if none.
function costPerUsefulAccelerator(
  capacity: Capacity,
  victim: Attempt,
  targets: ReadonlySet<number>,
): number {
  let useful = 0;
  for (const task of victim.tasks) {
    const worker = capacity.indexOf(task.workerId);
    if (worker !== undefined && targets.has(worker)) {
      useful += task.accelerators;
    }
  }
  return useful === 0 ? Infinity : lostWorkOf(victim) / useful;
}

// Victims are chosen one by one, cheapest first. A larger one chosen later can make earlier ones
// unnecessary; the costliest of those are dropped first.
function dropUnneededVictims(
  trial: Capacity,
  chosen: readonly Attempt[],
  workers: readonly number[],
  shape: Shape,
): Attempt[] {
  const kept = new Set(chosen);
  [...chosen]
    .sort((left, right) => lostWorkOf(right) - lostWorkOf(left))
    .forEach((victim) => {
      allocateTasks(trial, victim);
      if (trial.taskCapacity(workers, shape.acceleratorsPerWorker) >= shape.workers) {
        kept.delete(victim);
      } else {
        releaseTasks(trial, victim);
      }
    });
  return [...kept];
}

/** Returns the accelerators of an attempt to the available capacity. */
export function releaseTasks(capacity: Capacity, attempt: Attempt): void {
  attempt.tasks.forEach((task) => capacity.adjustById(task.workerId, task.accelerators));
}

/** Subtracts the accelerators of an attempt from the available capacity. */
export function allocateTasks(capacity: Capacity, attempt: Attempt): void {
  attempt.tasks.forEach((task) => capacity.adjustById(task.workerId, -task.accelerators));
}
