import { LayerError } from '@apricothoist/common';

export const WorkerErrorKind = {
  /** The worker did not respond; it may have accepted the assignment. */
  unreachable: 'unreachable',
  malformed: 'malformed',
} as const;
export type WorkerErrorKind = (typeof WorkerErrorKind)[keyof typeof WorkerErrorKind];

/** A failed call to a worker. */
export class WorkerError extends LayerError<WorkerErrorKind> {}
