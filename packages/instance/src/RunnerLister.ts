import type { Clock } from '@apricothoist/common';
import type { ListedRunner } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { CoordinationError } from './CoordinationStore.js';
import type { RunnerRegistry } from './RunnerRegistry.js';

/** A listing of the registry with the time of its request. */
export interface RunnerList {
  readonly runners: readonly ListedRunner[];
  /** Ids of the runners whose entries are there but cannot be read. */
  readonly unreadableIds: ReadonlySet<string>;
  /** Monotonic milliseconds. */
  readonly requestedAt: number;
}

/** Lists the runners. */
export class RunnerLister {
  public constructor(
    private readonly registry: RunnerRegistry,
    private readonly clock: Clock,
  ) {}

  /** @param deadline monotonic milliseconds */
  public async list(deadline: number): Promise<Result<RunnerList, CoordinationError>> {
    const requestedAt = this.clock.monotonic();
    const listing = await this.registry.list(deadline);
    return listing.map(({ entries, unreadableIds }) => ({
      runners: entries.map(({ runner, revision }) => ({
        ...runner,
        ...(revision > 0 ? { revision } : {}),
      })),
      unreadableIds,
      requestedAt,
    }));
  }
}
