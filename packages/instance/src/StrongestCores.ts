import type { Clock } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';

import type { CoordinationError, CoordinationStore, StoredItem } from './CoordinationStore.js';
import type { JobStatusCache } from './JobStatusCache.js';
import { StoreKeys } from './keys.js';
import { decodeRecord, strongestCoresSchema } from './storedRecords.js';
import { StoreTiming } from './StoreTiming.js';
import type { UnreadableRecords } from './UnreadableRecords.js';

/**
 * Cores of the strongest instance, as the last holder published them. An instance that has received
 * no feed since its start, for example after a power failure of all instances, reads them from the
 * store.
 */
export class StrongestCores {
  /** Undefined until the record was read. */
  private storedCores: number | undefined;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly statusCache: JobStatusCache,
    private readonly unreadable: UnreadableRecords,
  ) {}

  /** Last known value without a call; 0 if unknown. */
  public get known(): number {
    return this.statusCache.strongestCores || (this.storedCores ?? 0);
  }

  /** Resolves to 0 if no holder has stored them yet. */
  public async find(): Promise<Result<number, CoordinationError>> {
    const publishedCores = this.statusCache.strongestCores;
    if (publishedCores > 0) {
      return ok(publishedCores);
    }
    if (this.storedCores !== undefined) {
      return ok(this.storedCores);
    }
    const deadline = this.clock.monotonic() + StoreTiming.callTimeoutMs;
    const found = await this.store.read(StoreKeys.strongestCores, deadline);
    return found.map((item) => {
      this.storedCores =
        item?.value === undefined ? 0 : this.decode({ ...item, value: item.value });
      return this.storedCores;
    });
  }

  // Without them the instances compete as if they were alike, until a holder stores them again.
  private decode({ key, value, revision }: Required<StoredItem>): number {
    return decodeRecord(strongestCoresSchema, value).match(
      ({ cores }) => cores,
      (error) => {
        this.unreadable.report({ key, revision, error });
        return 0;
      },
    );
  }
}
