import { LayerError } from '@apricothoist/common';

export const StoreErrorKind = {
  /** The key has another version; the write did not take effect. */
  conflict: 'conflict',
  /** The write may have taken effect. */
  unknown: 'unknown',
  /** The store cannot be reached; the call was not carried out. */
  unavailable: 'unavailable',
  /** No answer to a call without effects before its deadline. */
  timeout: 'timeout',
  /** The instance has used up its calls; the call was not sent. */
  overBudget: 'overBudget',
  /** The answer does not follow the protocol. */
  malformed: 'malformed',
} as const;
export type StoreErrorKind = (typeof StoreErrorKind)[keyof typeof StoreErrorKind];

/** A failed call of the platform's key-value service. */
export class StoreError extends LayerError<StoreErrorKind> {}
