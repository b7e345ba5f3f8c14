import type { Account, Queue } from '@apricothoist/dispatch';

/** A queue with the host and path prefix of its requests. */
export interface Route extends Queue {
  readonly host: string;
  /** Path prefix of the requests; the longest match wins. */
  readonly pathPrefix: string;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
}

/** Decoded operator configuration. */
export interface OperatorConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly accounts: readonly Account[];
  /** Account name by API key. */
  readonly accountByKey: ReadonlyMap<string, string>;
  /** Services whose runners start whatever they are told to, without a check of their capacity. */
  readonly unguardedServices?: ReadonlySet<string>;
  readonly maxBodyBytes: number;
}

/** Keys that the operator writes to the store. */
export interface OperatorKeys {
  /** Prefix of all of them. */
  readonly prefix: string;
  readonly configuration: string;
  /** Prefix of the requests to evacuate a data centre; its name follows. */
  readonly evacuations: string;
  /** Prefix of the maintenance waves; the number of the wave follows. */
  readonly waves: string;
}
