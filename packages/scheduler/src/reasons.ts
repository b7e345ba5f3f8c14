import { Adjacency } from '@apricothoist/config';

import type { Attempt, Shape } from './Plan.js';

/** The shape in words. */
export function describeShape(shape: Shape): string {
  const place = shape.adjacency === Adjacency.rack ? ' in one rack' : '';
  return `${shape.workers} x ${shape.acceleratorsPerWorker} accelerators${place}`;
}

/** Where an attempt was placed, by what right, and at whose cost. */
export function describePlacement(attempt: Attempt, victims: number): string {
  const workers = [...new Set(attempt.tasks.map((task) => task.workerId))].join(', ');
  const right = attempt.guarantee === undefined ? 'borrowed' : `guarantee "${attempt.guarantee}"`;
  const stopped = victims === 0 ? '' : `, stopping ${victims} borrowers`;
  return `placed on ${workers} (${right}${stopped})`;
}
