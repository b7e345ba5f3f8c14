import { LayerError } from '@apricothoist/common';
import type { Result } from 'neverthrow';

/** Revision to expect of a key that must not exist. */
export const absentRevision = 0;

export const CoordinationErrorKind = {
  /** Nothing was done. */
  refused: 'refused',
  /** No answer: it may have been done, or may still be. */
  unanswered: 'unanswered',
  /** The history that a watch asked for is no longer there. */
  compacted: 'compacted',
  /** The lease has ended. */
  leaseEnded: 'leaseEnded',
  /** The answer cannot be read. */
  malformed: 'malformed',
} as const;
export type CoordinationErrorKind =
  (typeof CoordinationErrorKind)[keyof typeof CoordinationErrorKind];

/** A failed call of the coordination store. */
export class CoordinationError extends LayerError<CoordinationErrorKind> {}

export interface StoredItem {
  readonly key: string;
  /** Absent when a watch tells that the key was removed. */
  readonly value?: string;
  /** Revision of the last change of this key. */
  readonly revision: number;
}

/** Items with the revision of the whole store that they were read at. */
export interface StoredItems {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** A change that takes effect as a whole, and only if every expectation holds. */
export interface Transaction {
  readonly expect: readonly { readonly key: string; readonly revision: number }[];
  readonly writes: readonly { readonly key: string; readonly value: string; lease?: number }[];
  readonly deletes?: readonly string[];
}

export type CommitResult =
  | { readonly isCommitted: true; readonly revision: number }
  /** Nothing was done; `items` are the expected keys as they are now. */
  | { readonly isCommitted: false; readonly items: readonly StoredItem[] };

type Answer<T> = Promise<Result<T, CoordinationError>>;

/** The store that outlives every instance. Deadlines are monotonic milliseconds. */
export interface CoordinationStore {
  /** Most entries of one transaction: expectations, writes and deletes together. */
  readonly maxTransactionEntries: number;
  read(key: string, deadline: number): Answer<StoredItem | undefined>;
  /** All items below a prefix. */
  list(prefix: string, deadline: number): Answer<StoredItems>;
  /** Waits up to `waitMs` for changes below `prefix` after a revision. */
  watch(prefix: string, after: number, waitMs: number, deadline: number): Answer<StoredItems>;
  commit(transaction: Transaction, deadline: number): Answer<CommitResult>;
  /** Returns the identifier of a lease that lasts `ttlMs` from the arrival of the call. */
  grantLease(ttlMs: number, deadline: number): Answer<number>;
  renewLease(lease: number, deadline: number): Answer<void>;
  endLease(lease: number, deadline: number): Answer<void>;
}
