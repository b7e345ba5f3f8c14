import type { Result } from 'neverthrow';

import type { StoreError } from './StoreError.js';

/** Expected version for a write that must create the key. */
export const absentVersion = 0;

/** A value as stored by the platform's key-value service. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Changes with every write of the key; never reused. */
  readonly version: number;
}

/** Keys that changed after a given revision of the store. */
export interface StoreChanges {
  readonly revision: number;
  readonly keys: readonly string[];
}

/** Compare-and-swap write: takes effect only if the key still has the version `expected`. */
export interface StoreWrite {
  readonly key: string;
  readonly expected: number;
  readonly value: string;
  /** Wall time in milliseconds at which the store deletes the key; absent for persistent keys. */
  readonly expiresAt?: number;
}

/** Protocol of the platform's key-value service; each method makes one call. */
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

/** A decoded value with its version, for use in a later compare-and-swap. */
export interface Versioned<T> {
  readonly version: number;
  readonly data: T;
}

/** Store interface of the services: JSON values, a call budget, recovery of lost responses. */
export interface Store {
  read<T>(key: string): Promise<Result<Versioned<T> | undefined, StoreError>>;
  list<T>(prefix: string): Promise<Result<readonly (Versioned<T> & { key: string })[], StoreError>>;
  /**
   * Writes `data` if the key still has the version `expected`, and returns the new version. After
   * the error `conflict` the write did not take effect; after `unknown` it may have.
   */
  compareAndSwap<T>(
    key: string,
    expected: number,
    data: T,
    expiresAt?: number,
  ): Promise<Result<number, StoreError>>;
}
