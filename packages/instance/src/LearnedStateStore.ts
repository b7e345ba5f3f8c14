import type { Clock } from '@apricothoist/common';
import type { Dispatcher } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { CoordinationError, CoordinationStore, StoredItem } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import type { StrongestCoresRecord } from './StoredJob.js';
import { decodeRecord, learnedStateSchema } from './storedRecords.js';
import { StoreTiming } from './StoreTiming.js';
import type { UnreadableRecords } from './UnreadableRecords.js';

/** Milliseconds between writes: little is learned in a shorter time, and each write has a cost. */
const writeIntervalMs = 4_000;

/**
 * Stores the learned state of the holder for its successor, with the cores of the strongest instance
 * for the next election. A successor benefits from both only in the first seconds of its term.
 */
export class LearnedStateStore {
  private writtenAt: number;

  private isWriting = false;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly dispatcher: Dispatcher,
    private readonly clock: Clock,
    private readonly token: number,
    private readonly strongestCores: () => number,
    private readonly unreadable: UnreadableRecords,
    private readonly onFailure: (error: CoordinationError) => void,
  ) {
    this.writtenAt = clock.monotonic();
  }

  /** Restores the learned state of the previous holder, if it was read. */
  public restore(found: Result<StoredItem | undefined, CoordinationError>): void {
    if (found.isErr()) {
      this.onFailure(found.error);
      return;
    }
    const item = found.value;
    if (item?.value === undefined) {
      return;
    }
    decodeRecord(learnedStateSchema, item.value).match(
      (state) => this.dispatcher.restoreLearnedState(state, this.clock.monotonic()),
      (error) => this.unreadable.report({ ...item, error }),
    );
  }

  /** Stores the learned state once per interval; the write fails unless the token is current. */
  public async writeIfDue(): Promise<void> {
    const now = this.clock.monotonic();
    if (this.isWriting || now - this.writtenAt < writeIntervalMs) {
      return;
    }
    this.writtenAt = now;
    const value = JSON.stringify(this.dispatcher.exportLearnedState(now));
    const expect = [{ key: StoreKeys.holder, revision: this.token }];
    const strongest: StrongestCoresRecord = { cores: this.strongestCores() };
    const writes = [
      { key: StoreKeys.learnedState, value },
      { key: StoreKeys.strongestCores, value: JSON.stringify(strongest) },
    ];
    this.isWriting = true;
    const result = await this.store
      .commit({ expect, writes }, now + StoreTiming.callTimeoutMs)
      .finally(() => {
        this.isWriting = false;
      });
    if (result.isErr()) {
      this.onFailure(result.error);
    }
  }
}
