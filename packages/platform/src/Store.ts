import type { Result } from 'neverthrow';

import type { StoreError } from './StoreError.js';

/** Version to expect of a key that must not exist yet. */
export const absentVersion = 0;

/** A value as the platform's service holds it. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Changes with every write of the key; never reused. */
  readonly version: number;
}

/** Keys that changed after a revision of the whole store. */
export interface StoreChanges {
  readonly revision: number;
  readonly keys: readonly string[];
}

/** A compare-and-swap: it takes effect only if the key still has `expected`. */
export interface StoreWrite {
  readonly key: string;
  readonly expected: number;
  readonly value: string;
  /** Wall time in milliseconds at which the store drops the key; absent for lasting keys. */
  readonly expiresAt?: number;
}

/** The platform's key-value service as its protocol offers it, one call a method. */
export interface StoreTransport {
  /** @param deadline monotonic milliseconds */
  read(key: string, deadline: number): Promise<Result<StoredValue | undefined, StoreError>>;
  list(prefix: string, deadline: number): Promise<Result<readonly StoredValue[], StoreError>>;
  /** Returns the new version. */
  write(write: StoreWrite, deadline: number): Promise<Result<number, StoreError>>;
  /** Waits until a key below `prefix` changes after `revision`, or until the deadline. */
  watch(
    prefix: string,
    revision: number,
    deadline: number,
  ): Promise<Result<StoreChanges, StoreError>>;
}

/** A decoded value with the version that a later compare-and-swap has to expect. */
export interface Versioned<T> {
  readonly version: number;
  readonly data: T;
}

/** The store as the product uses it: JSON values, calls within a budget, lost answers resolved. */
export interface Store {
  read<T>(key: string): Promise<Result<Versioned<T> | undefined, StoreError>>;
  list<T>(prefix: string): Promise<Result<readonly (Versioned<T> & { key: string })[], StoreError>>;
  /**
   * Writes `data` if the key still has the version `expected`, and returns the new version. The
   * error `conflict` says that it did not take effect; `unknown` that this cannot be told.
   */
  compareAndSwap<T>(
    key: string,
    expected: number,
    data: T,
    expiresAt?: number,
  ): Promise<Result<number, StoreError>>;
}
