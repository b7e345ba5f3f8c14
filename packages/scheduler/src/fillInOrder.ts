import type { Capacity, WorkerShare } from './Capacity.js';
import type { Shape } from './Plan.js';

/** Puts as many tasks of a gang on each worker as fit, in the given order, until all have a place. */
export function fillInOrder(
  capacity: Capacity,
  workers: readonly number[],
  shape: Shape,
): WorkerShare[] {
  const per = shape.acceleratorsPerWorker;
  const shares: WorkerShare[] = [];
  let missing = shape.workers;
  for (const worker of workers) {
    if (missing === 0) {
      break;
    }
    const tasks = Math.min(missing, Math.floor(capacity.freeOf(worker) / per));
    shares.push({ worker, tasks });
    missing -= tasks;
  }
  return shares;
}
