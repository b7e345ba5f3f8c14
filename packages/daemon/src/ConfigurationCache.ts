import type { Event } from '@apricothoist/common';
import { digestOf, Emitter } from '@apricothoist/common';
import type { Configuration } from '@apricothoist/config';
import { parseConfiguration } from '@apricothoist/config';
import { z } from 'zod';

import type { ConfigurationStore } from './ConfigurationStore.js';

/** A configuration as sent between instances. */
export const sharedConfigurationSchema = z.strictObject({
  revision: z.number().int().positive(),
  digest: z.string(),
  text: z.string(),
});
export type SharedConfiguration = z.output<typeof sharedConfigurationSchema>;

/** The configuration that is active at this instance. */
export interface ActiveConfiguration extends SharedConfiguration {
  readonly configuration: Configuration;
}

/** Holds the newest known configuration. Its revision never decreases. */
export class ConfigurationCache implements Disposable {
  private active: ActiveConfiguration | undefined;

  private readonly adopted = new Emitter<ActiveConfiguration>();

  public readonly onAdopt: Event<ActiveConfiguration> = this.adopted.event;

  private readonly rejected = new Emitter<string>();

  /** Fires with the reason when a newer configuration is rejected. */
  public readonly onReject: Event<string> = this.rejected.event;

  public constructor(private readonly store: ConfigurationStore) {}

  public get current(): ActiveConfiguration | undefined {
    return this.active;
  }

  public get revision(): number {
    return this.active?.revision ?? 0;
  }

  /** Adopts the configuration in the store if it is newer. Returns whether the store responded. */
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

  /** Adopts a configuration from the store or a peer if it is newer, intact and valid. */
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
