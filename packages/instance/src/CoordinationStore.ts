import { LayerError } from '@apricothoist/common';
import type { Result } from 'neverthrow';

/** Expected revision of a key that must not exist. */
export const absentRevision = 0;

export const CoordinationErrorKind = {
  /** Rejected by the store without effect. */
  refused: 'refused',
  /** No response: the call may have taken effect, or may still do so. */
  unanswered: 'unanswered',
  /** The revision from which to watch was compacted. */
  compacted: 'compacted',
  /** The lease has expired or was ended. */
  leaseEnded: 'leaseEnded',
  /** The response cannot be parsed. */
  malformed: 'malformed',
} as const;
export type CoordinationErrorKind =
  (typeof CoordinationErrorKind)[keyof typeof CoordinationErrorKind];

/** Error of a call to the coordination store. */
export class CoordinationError extends LayerError<CoordinationErrorKind> {}

export interface StoredItem {
  readonly key: string;
  /** Undefined when a watch reports the deletion of the key. */
  readonly value?: string;
  /** Revision of the last change of this key. */
  readonly revision: number;
}

/** Items with the store revision at which they were read. */
export interface StoredItems {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** One page of the items below a prefix; pages are read at different revisions. */
export interface StoredPage extends StoredItems {
  readonly hasMore: boolean;
}

/** Atomic change that is committed only if every expected revision matches. */
export interface Transaction {
  readonly expect: readonly { readonly key: string; readonly revision: number }[];
  readonly writes: readonly { readonly key: string; readonly value: string; lease?: number }[];
  readonly deletes?: readonly string[];
}

export type CommitResult =
  | { readonly isCommitted: true; readonly revision: number }
  /** Nothing was changed; `items` are the current items of the expected keys. */
  | { readonly isCommitted: false; readonly items: readonly StoredItem[] };

type StoreResult<T> = Promise<Result<T, CoordinationError>>;

/**
 * Client of the coordination store, which all instances share. Deadlines are monotonic
 * milliseconds. That of a list or a watch is extended while its answer arrives: the answer may be of
 * any size.
 */
export interface CoordinationStore {
  /** Largest number of entries in a transaction: expectations, writes and deletes together. */
  readonly maxTransactionEntries: number;
  read(key: string, deadline: number): StoreResult<StoredItem | undefined>;
  /** Returns all items below a prefix. */
  list(prefix: string, deadline: number): StoreResult<StoredItems>;
  /**
   * Returns the items below a prefix that follow the key `after`, as many as the store sends at
   * once; the first ones if it is undefined.
   */
  listPage(prefix: string, after: string | undefined, deadline: number): StoreResult<StoredPage>;
  /** Waits up to `waitMs` for changes below `prefix` after a revision. */
  watch(prefix: string, after: number, waitMs: number, deadline: number): StoreResult<StoredItems>;
  commit(transaction: Transaction, deadline: number): StoreResult<CommitResult>;
  /**
   * Returns the id of a new lease that expires `ttlMs` after the store receives the call.
   */
  grantLease(ttlMs: number, deadline: number): StoreResult<number>;
  renewLease(lease: number, deadline: number): StoreResult<void>;
  endLease(lease: number, deadline: number): StoreResult<void>;
}
