import type { Clock } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { CoordinationStore } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import type { MaintenancePlatform } from './MachineClient.js';
import { decodeRecord, maintenanceSchema } from './storedRecords.js';
import { StoreTiming } from './StoreTiming.js';
import type { UnreadableRecords } from './UnreadableRecords.js';
import { WaveProgress } from './WaveProgress.js';
import type { RequestedWave } from './WaveRequests.js';

/** How a write of the progress of a wave ended. */
export const WaveWrite = {
  stored: 'stored',
  failed: 'failed',
  /** Another instance holds the leadership. */
  superseded: 'superseded',
} as const;
export type WaveWrite = (typeof WaveWrite)[keyof typeof WaveWrite];

/** Why the progress of a wave is not known. */
export const WaveReadFailure = {
  unanswered: 'unanswered',
  /** The stored record cannot be read; machines that it names may have been called. */
  unreadable: 'unreadable',
} as const;
export type WaveReadFailure = (typeof WaveReadFailure)[keyof typeof WaveReadFailure];

/** Reads and writes the progress of maintenance waves; writes need the token to be current. */
export class WaveStore {
  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly token: number,
    private readonly platform: MaintenancePlatform,
    private readonly requestPrefix: string,
    private readonly unreadable: UnreadableRecords,
  ) {}

  /** Reads what a former holder has stored of a wave. */
  public async read(
    wave: string,
    request: RequestedWave,
  ): Promise<Result<WaveProgress, WaveReadFailure>> {
    const found = await this.store.read(StoreKeys.maintenance(wave), this.deadline);
    if (found.isErr()) {
      return err(WaveReadFailure.unanswered);
    }
    const item = found.value;
    if (item?.value === undefined) {
      return ok(new WaveProgress(wave, request, undefined, this.clock.wall()));
    }
    return decodeRecord(maintenanceSchema, item.value)
      .map((record) => new WaveProgress(wave, request, record, this.clock.wall()))
      .mapErr((error) => {
        this.unreadable.report({ ...item, error });
        return WaveReadFailure.unreadable;
      });
  }

  /** Stores the changes of a wave, and the status that it shows. */
  public async write(progress: WaveProgress): Promise<WaveWrite> {
    if (!progress.isDirty) {
      return WaveWrite.stored;
    }
    const { wave, isCompleted, isStatusDue, unsettled } = progress;
    const key = StoreKeys.maintenance(wave);
    const record = { key, value: JSON.stringify(progress.toRecord()) };
    const status = isStatusDue ? [this.platform.statusOf(wave, isCompleted)] : [];
    // The operator may have added machines that this instance does not know of yet.
    const request = { key: `${this.requestPrefix}${wave}`, revision: progress.request.revision };
    const result = await this.commit([record, ...status], [], isCompleted ? [request] : []);
    if (result === WaveWrite.stored) {
      progress.isDirty = false;
      progress.isStatusDue = false;
      progress.settle(unsettled);
    }
    return result;
  }

  /** Deletes the progress of a wave that the operator has deleted. */
  public remove(wave: string): Promise<WaveWrite> {
    return this.commit([], [StoreKeys.maintenance(wave)]);
  }

  private async commit(
    writes: readonly { key: string; value: string }[],
    deletes: readonly string[],
    requests: readonly { key: string; revision: number }[] = [],
  ): Promise<WaveWrite> {
    const expect = [{ key: StoreKeys.holder, revision: this.token }, ...requests];
    const result = await this.store.commit({ expect, writes, deletes }, this.deadline);
    if (result.isErr()) {
      return WaveWrite.failed;
    }
    if (result.value.isCommitted) {
      return WaveWrite.stored;
    }
    const holder = result.value.items.find(({ key }) => key === StoreKeys.holder);
    return holder?.revision === this.token ? WaveWrite.failed : WaveWrite.superseded;
  }

  private get deadline(): number {
    return this.clock.monotonic() + StoreTiming.callTimeoutMs;
  }
}
