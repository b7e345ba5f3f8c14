import type { Event } from '@apricothoist/common';
import { digestOf, Emitter } from '@apricothoist/common';
import type { Configuration } from '@apricothoist/config';
import { parseConfiguration } from '@apricothoist/config';
import { z } from 'zod';

import type { ConfigurationStore } from './ConfigurationStore.js';

/** A configuration as one instance tells it to another. */
export const sharedConfigurationSchema = z.strictObject({
  revision: z.number().int().positive(),
  digest: z.string(),
  text: z.string(),
});
export type SharedConfiguration = z.output<typeof sharedConfigurationSchema>;

/** The configuration in force at this instance. */
export interface ActiveConfiguration extends SharedConfiguration {
  readonly configuration: Configuration;
}

/** Holds the newest configuration that this instance has learned. It never goes back. */
export class ConfigurationKeeper implements Disposable {
  private active: ActiveConfiguration | undefined;

  private readonly adopted = new Emitter<ActiveConfiguration>();

  public readonly onAdopt: Event<ActiveConfiguration> = this.adopted.event;

  private readonly rejected = new Emitter<string>();

  /** Fires with the reason when a newer configuration could not be taken over. */
  public readonly onReject: Event<string> = this.rejected.event;

  public constructor(private readonly store: ConfigurationStore) {}

  public get current(): ActiveConfiguration | undefined {
    return this.active;
  }

  public get revision(): number {
    return this.active?.revision ?? 0;
  }

  /** Reads the store's newest revision if it is newer. Returns whether the store answered. */
  public async refresh(): Promise<boolean> {
    const head = await this.store.readHead();
    if (head.isErr()) {
      return false;
    }
    if (head.value.revision <= this.revision) {
      return true;
    }
    const record = await this.store.readRecord(head.value.recordKey);
    if (record.isErr()) {
      return false;
    }
    if (record.value !== undefined) {
      this.offer(record.value);
    }
    return true;
  }

  /** Takes over a configuration from the store or a peer if it is newer and whole. */
  public offer(candidate: SharedConfiguration): void {
    const { revision, digest, text } = candidate;
    if (revision <= this.revision) {
      return;
    }
    if (digestOf(text) !== digest) {
      this.rejected.fire(`revision ${revision} does not match its digest`);
      return;
    }
    parseConfiguration(text, `revision ${revision}`).match(
      (configuration) => {
        this.active = { revision, digest, text, configuration };
        this.adopted.fire(this.active);
      },
      (error) => this.rejected.fire(error.message),
    );
  }

  public [Symbol.dispose](): void {
    this.adopted[Symbol.dispose]();
    this.rejected[Symbol.dispose]();
  }
}
