import type { Result } from 'neverthrow';

import type { InstanceListError } from './InstanceListError.js';

/** Role of an instance on the platform's list. */
export const InstanceRole = { entry: 'entry', endpoint: 'endpoint', worker: 'worker' } as const;
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

export const ListedState = { live: 'live', leaving: 'leaving' } as const;
export type ListedState = (typeof ListedState)[keyof typeof ListedState];

/** One row of the platform's instance list, which may be out of date. */
export interface ListedInstance {
  /** Unique and, unlike the address, never reused. */
  readonly id: string;
  readonly role: InstanceRole;
  readonly dataCentre: string;
  /** `host:port`; for entry instances the address of the mesh listener. */
  readonly address: string;
  readonly state: ListedState;
  /** Service of an endpoint. */
  readonly service?: string;
  /** Rack of a worker. */
  readonly rack?: string;
  /** Accelerators of a worker. */
  readonly accelerators?: number;
}

/** The platform's list of live and leaving instances. */
export interface InstanceList {
  read(): Promise<Result<readonly ListedInstance[], InstanceListError>>;
}
