import { Adjacency } from '@apricothoist/config';

import type { Attempt, Shape } from './Plan.js';

/** Human-readable description of a shape. */
export function describeShape(shape: Shape): string {
  const constraint = shape.adjacency === Adjacency.rack ? ' in one rack' : '';
  return `${shape.workers} x ${shape.acceleratorsPerWorker} accelerators${constraint}`;
}

/** Describes the workers of an attempt, its entitlement and the number of preempted borrowers. */
export function describePlacement(attempt: Attempt, victims: number): string {
  const workers = [...new Set(attempt.tasks.map((task) => task.workerId))].join(', ');
  const entitlement =
    attempt.guarantee === undefined ? 'borrowed' : `guarantee "${attempt.guarantee}"`;
  const stopped = victims === 0 ? '' : `, stopping ${victims} borrowers`;
  return `placed on ${workers} (${entitlement}${stopped})`;
}
