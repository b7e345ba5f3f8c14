import type { Clock } from '@apricothoist/common';
import type { Dispatcher, Experience } from '@apricothoist/dispatch';

import type { CoordinationError, CoordinationStore } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import { parseRecord } from './StoredJob.js';
import { StorePace } from './StorePace.js';

/** Milliseconds between two writes: little is learned in less, and each write is paid for. */
const keepEveryMs = 4_000;

/** Hands what the holder has learned to its successor. Nothing depends on it but the first seconds. */
export class ExperienceKeeper {
  private keptAt: number;

  private isKeeping = false;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly dispatcher: Dispatcher,
    private readonly clock: Clock,
    private readonly token: number,
    private readonly onFailure: (error: CoordinationError) => void,
  ) {
    this.keptAt = clock.monotonic();
  }

  /** Takes over what the former holder has learned, if it can be read. */
  public async restore(deadline: number): Promise<void> {
    const found = await this.store.read(StoreKeys.experience, deadline);
    if (found.isErr()) {
      this.onFailure(found.error);
      return;
    }
    const experience = parseRecord<Experience>(found.value?.value);
    if (experience !== undefined) {
      this.dispatcher.restoreExperience(experience, this.clock.monotonic());
    }
  }

  /** Stores what was learned, now and then; only the holder of the token can. */
  public async keepIfDue(): Promise<void> {
    const now = this.clock.monotonic();
    if (this.isKeeping || now - this.keptAt < keepEveryMs) {
      return;
    }
    this.keptAt = now;
    this.isKeeping = true;
    const value = JSON.stringify(this.dispatcher.recordExperience(now));
    const expect = [{ key: StoreKeys.holder, revision: this.token }];
    const writes = [{ key: StoreKeys.experience, value }];
    const result = await this.store.commit({ expect, writes }, now + StorePace.callMs);
    this.isKeeping = false;
    if (result.isErr()) {
      this.onFailure(result.error);
    }
  }
}
