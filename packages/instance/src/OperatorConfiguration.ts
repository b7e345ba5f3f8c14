import type { Account, Queue } from '@apricothoist/dispatch';

/** A queue with the requests that belong to it. */
export interface Route extends Queue {
  readonly host: string;
  /** Beginning of the paths; the longest match wins. */
  readonly pathPrefix: string;
  /** Whether calls need no key. */
  readonly isPublic: boolean;
}

/** The operators' configuration. */
export interface OperatorConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly accounts: readonly Account[];
  /** Account name by API key. */
  readonly accountByKey: ReadonlyMap<string, string>;
  readonly maxBodyBytes: number;
}
