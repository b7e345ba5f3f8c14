import { Adjacency } from '@apricothoist/config';

import type { Capacity, WorkerShare } from './Capacity.js';
import { fillTightest } from './GuaranteeWitness.js';
import type { Attempt, Shape } from './Plan.js';

/** A placement that stops borrowers. */
export interface Reclaim {
  readonly shares: readonly WorkerShare[];
  readonly victims: readonly Attempt[];
  /** Work in accelerator-milliseconds that is lost: done since the last checkpoint. */
  readonly lostWork: number;
}

/** Cost in accelerator-milliseconds of stopping and starting an accelerator's task again. */
export const restartCostMs = 5_000;
/** Groups of workers that one search tries at most. */
const maxGroups = 16;

/** Chooses which borrowers to stop so that a gang fits, at the least lost work. */
export class ReclaimSearch {
  /** @param victims attempts that may be stopped */
  public constructor(private readonly victims: readonly Attempt[]) {}

  /** Possible reclaims, least lost work first. */
  public find(
    capacity: Capacity,
    shape: Shape,
    avoided: ReadonlySet<number> = new Set(),
  ): Reclaim[] {
    const reclaimable = this.reclaimableCapacity(capacity);
    return suitableGroups(reclaimable, shape, avoided)
      .map((workers) => this.reclaimWithin(capacity, workers, shape))
      .filter((reclaim) => reclaim !== undefined)
      .sort((left, right) => left.lostWork - right.lostWork);
  }

  private reclaimableCapacity(capacity: Capacity): Capacity {
    const copy = capacity.clone();
    this.victims.forEach((victim) => release(copy, victim));
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
    const victims = dropNeedless(trial, chosen, workers, shape);
    return {
      shares: fillTightest(trial, workers, shape),
      victims,
      lostWork: victims.reduce((sum, victim) => sum + lostWorkOf(victim), 0),
    };
  }

  private chooseVictims(
    trial: Capacity,
    workers: readonly number[],
    shape: Shape,
  ): Attempt[] | undefined {
    const inside = new Set(workers);
    const ranked = this.victims
      .map((victim) => ({ victim, cost: costWithin(trial, victim, inside) }))
      .filter((entry) => Number.isFinite(entry.cost))
      .sort((left, right) => left.cost - right.cost || (left.victim.id < right.victim.id ? -1 : 1));
    const chosen: Attempt[] = [];
    for (const entry of ranked) {
      if (trial.taskRoom(workers, shape.acceleratorsPerWorker) >= shape.workers) {
        return chosen;
      }
      release(trial, entry.victim);
      chosen.push(entry.victim);
    }
    return trial.taskRoom(workers, shape.acceleratorsPerWorker) >= shape.workers
      ? chosen
      : undefined;
  }
}

/** Groups of workers that could hold the gang, roomiest first. */
function suitableGroups(
  reclaimable: Capacity,
  shape: Shape,
  avoided: ReadonlySet<number>,
): (readonly number[])[] {
  const racks = reclaimable.racks.map((workers) => workers.filter((item) => !avoided.has(item)));
  const per = shape.acceleratorsPerWorker;
  const suitable = racks
    .map((workers) => ({ workers, room: reclaimable.taskRoom(workers, per) }))
    .filter((entry) => entry.room >= shape.workers)
    .sort((left, right) => right.room - left.room)
    .slice(0, maxGroups)
    .map((entry) => entry.workers);
  if (shape.adjacency === Adjacency.rack) {
    return suitable;
  }
  const all = racks.flat();
  return reclaimable.taskRoom(all, per) >= shape.workers ? [...suitable, all] : suitable;
}

/** Accelerator-milliseconds that are lost when the attempt is stopped now. */
export function lostWorkOf(attempt: Attempt): number {
  const accelerators = attempt.tasks.reduce((sum, task) => sum + task.accelerators, 0);
  const lostMs = Math.max(0, attempt.progressMs - attempt.checkpointMs);
  return accelerators * (lostMs + restartCostMs);
}

// Lost work for each accelerator that becomes free on the wanted workers.
function costWithin(capacity: Capacity, victim: Attempt, inside: ReadonlySet<number>): number {
  let useful = 0;
  for (const task of victim.tasks) {
    const worker = capacity.indexOf(task.workerId);
    if (worker !== undefined && inside.has(worker)) {
      useful += task.accelerators;
    }
  }
  return useful === 0 ? Infinity : lostWorkOf(victim) / useful;
}

// The cheapest victims are chosen one by one; a later, larger one may make them needless.
function dropNeedless(
  trial: Capacity,
  chosen: readonly Attempt[],
  workers: readonly number[],
  shape: Shape,
): Attempt[] {
  const kept = new Set(chosen);
  [...chosen]
    .sort((left, right) => lostWorkOf(right) - lostWorkOf(left))
    .forEach((victim) => {
      occupy(trial, victim);
      if (trial.taskRoom(workers, shape.acceleratorsPerWorker) >= shape.workers) {
        kept.delete(victim);
      } else {
        release(trial, victim);
      }
    });
  return [...kept];
}

/** Adds the accelerators of an attempt to the available ones. */
export function release(capacity: Capacity, attempt: Attempt): void {
  attempt.tasks.forEach((task) => capacity.adjustById(task.workerId, task.accelerators));
}

/** Takes the accelerators of an attempt from the available ones. */
export function occupy(capacity: Capacity, attempt: Attempt): void {
  attempt.tasks.forEach((task) => capacity.adjustById(task.workerId, -task.accelerators));
}
