import { LayerError } from '@apricothoist/common';

export const WorkerErrorKind = {
  /** The worker did not answer; it may have accepted the assignment. */
  unreachable: 'unreachable',
  malformed: 'malformed',
} as const;
export type WorkerErrorKind = (typeof WorkerErrorKind)[keyof typeof WorkerErrorKind];

/** A failed call of a worker. */
export class WorkerError extends LayerError<WorkerErrorKind> {}
