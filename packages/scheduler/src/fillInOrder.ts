import type { Capacity, WorkerShare } from './Capacity.js';
import type { Shape } from './Plan.js';

/** Places as many tasks of a gang as fit on each worker, in the given order, until all are placed. */
export function fillInOrder(
  capacity: Capacity,
  workers: readonly number[],
  shape: Shape,
): WorkerShare[] {
  const acceleratorsPerTask = shape.acceleratorsPerWorker;
  const shares: WorkerShare[] = [];
  let remaining = shape.workers;
  for (const worker of workers) {
    if (remaining === 0) {
      break;
    }
    const tasks = Math.min(remaining, Math.floor(capacity.freeOf(worker) / acceleratorsPerTask));
    shares.push({ worker, tasks });
    remaining -= tasks;
  }
  return shares;
}
