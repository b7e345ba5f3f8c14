import type { ListedRunner } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { CoordinationError } from './CoordinationStore.js';

/** Entry of a runner, with the revision of its last write. */
export interface RegistryEntry {
  readonly runner: ListedRunner;
  readonly revision: number;
}

/** All entries of the registry. */
export interface RegistryListing {
  readonly entries: readonly RegistryEntry[];
  /** Ids of the runners whose entries are there but cannot be read. */
  readonly unreadableIds: ReadonlySet<string>;
  /** Revision of the store when the listing began. */
  readonly revision: number;
}

/** Registry of the available runners. */
export interface RunnerRegistry {
  /** Number of entries that could not be read since the process started, by revision. */
  readonly invalidEntries: number;
  /** @param deadline monotonic milliseconds */
  list(deadline: number): Promise<Result<RegistryListing, CoordinationError>>;
}
