import type { Clock } from '@apricothoist/common';
import type { ListedRunner } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { CoordinationError } from './CoordinationStore.js';
import type { RevisionTimes } from './RevisionTimes.js';
import type { RegistryEntry, RunnerRegistry } from './RunnerRegistry.js';

/** A listing of the registry whose entries are dated. */
export interface RunnerList {
  readonly runners: readonly ListedRunner[];
  /** Ids of the runners whose entries are there but cannot be read. */
  readonly unreadableIds: ReadonlySet<string>;
  /** Monotonic milliseconds. */
  readonly requestedAt: number;
}

/** Lists the runners, and dates the last write of each entry by revisions of the store. */
export class RunnerLister {
  public constructor(
    private readonly registry: RunnerRegistry,
    private readonly revisionTimes: RevisionTimes,
    private readonly clock: Clock,
  ) {}

  /** @param deadline monotonic milliseconds */
  public async list(deadline: number): Promise<Result<RunnerList, CoordinationError>> {
    const requestedAt = this.clock.monotonic();
    const listing = await this.registry.list(deadline);
    return listing.map(({ entries, unreadableIds, revision }) => {
      this.revisionTimes.record(revision, requestedAt);
      return { runners: entries.map((entry) => this.date(entry)), unreadableIds, requestedAt };
    });
  }

  private date({ runner, revision }: RegistryEntry): ListedRunner {
    const writtenAfter = this.revisionTimes.findTimeBefore(revision);
    return {
      ...runner,
      ...(revision > 0 ? { revision } : {}),
      ...(writtenAfter === undefined ? {} : { writtenAfter }),
    };
  }
}
