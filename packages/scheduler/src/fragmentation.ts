import { Adjacency } from '@apricothoist/config';

import type { Capacity } from './Capacity.js';
import type { Shape } from './Plan.js';

/** Fraction of the free accelerators, from 0 to 1, that no gang of the given shapes can use. */
export function fragmentationOf(free: Capacity, shapes: readonly Shape[]): number {
  const total = free.totalFree;
  if (total === 0 || shapes.length === 0) {
    return 0;
  }
  const usable = new Int32Array(free.workers.length);
  const all = free.workers.map((_, index) => index);
  shapes.forEach((shape) => {
    const groups = shape.adjacency === Adjacency.rack ? free.racks : [all];
    groups.forEach((workers) => markUsable(free, workers, shape, usable));
  });
  const usableTotal = usable.reduce((sum, value) => sum + value, 0);
  return (total - usableTotal) / total;
}

function markUsable(
  free: Capacity,
  workers: readonly number[],
  shape: Shape,
  usable: Int32Array,
): void {
  const acceleratorsPerTask = shape.acceleratorsPerWorker;
  if (free.taskCapacity(workers, acceleratorsPerTask) < shape.workers) {
    return;
  }
  workers.forEach((worker) => {
    const used = Math.floor(free.freeOf(worker) / acceleratorsPerTask) * acceleratorsPerTask;
    usable[worker] = Math.max(usable[worker] ?? 0, used);
  });
}
