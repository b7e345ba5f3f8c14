import { LayerError } from '@apricothoist/common';

export const StoreErrorKind = {
  /** The key does not have the expected version; the write did not take effect. */
  conflict: 'conflict',
  /** The write may have taken effect. */
  unknown: 'unknown',
  /** The store is unreachable; the call was not carried out. */
  unavailable: 'unavailable',
  /** No response before the deadline, to a call without side effects. */
  timeout: 'timeout',
  /** The call budget of the instance is exhausted; the call was not sent. */
  overBudget: 'overBudget',
  /** The response violates the protocol. */
  malformed: 'malformed',
} as const;
export type StoreErrorKind = (typeof StoreErrorKind)[keyof typeof StoreErrorKind];

/** A failed call to the platform's key-value service. */
export class StoreError extends LayerError<StoreErrorKind> {}
