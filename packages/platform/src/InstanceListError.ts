import { LayerError } from '@apricothoist/common';

export const InstanceListErrorKind = {
  unavailable: 'unavailable',
  malformed: 'malformed',
} as const;
export type InstanceListErrorKind =
  (typeof InstanceListErrorKind)[keyof typeof InstanceListErrorKind];

/** A failed read of the platform's instance list. */
export class InstanceListError extends LayerError<InstanceListErrorKind> {}
