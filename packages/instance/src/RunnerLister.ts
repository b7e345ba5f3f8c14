import type { Clock } from '@apricothoist/common';
import type { ListedRunner } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { CoordinationError } from './CoordinationStore.js';
import type { RunnerRegistry } from './RunnerRegistry.js';
import { StoreTiming } from './StoreTiming.js';

/**
 * Milliseconds between reads of the runner registry; a drain must be detected within two seconds.
 */
const listIntervalMs = 700;

/** A listing of the registry with the time of its request. */
export interface RunnerList {
  readonly runners: readonly ListedRunner[];
  /** Ids of the runners whose entries are there but cannot be read. */
  readonly unreadableIds: ReadonlySet<string>;
  /** Monotonic milliseconds. */
  readonly requestedAt: number;
}

/** Lists the runners, on demand or once per interval. */
export class RunnerLister {
  /** Monotonic milliseconds of the last request. */
  private requestedAt = -Infinity;

  private isListing = false;

  public constructor(
    private readonly registry: RunnerRegistry,
    private readonly clock: Clock,
  ) {}

  /** @param deadline monotonic milliseconds */
  public async list(deadline: number): Promise<Result<RunnerList, CoordinationError>> {
    const requestedAt = this.clock.monotonic();
    this.requestedAt = requestedAt;
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

  /** Lists the runners if the interval is over; undefined if it is not, or if the store fails. */
  public async listIfDue(): Promise<RunnerList | undefined> {
    const now = this.clock.monotonic();
    if (this.isListing || now - this.requestedAt < listIntervalMs) {
      return undefined;
    }
    this.isListing = true;
    try {
      return (await this.list(now + StoreTiming.callTimeoutMs)).unwrapOr(undefined);
    } finally {
      this.isListing = false;
    }
  }
}
