import type { Clock, Random } from '@apricothoist/common';
import type { ServiceSection } from '@apricothoist/config';
import type { DigestContentFactory, Mesh } from '@apricothoist/mesh';
import type { InstanceList, StoreTransport, WorkerClient } from '@apricothoist/platform';
import type { EndpointSender } from '@apricothoist/router';

/** A caller's request as forwarded to an endpoint or a peer. */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, HeaderValue>>;
  readonly body: Uint8Array;
}

/** An endpoint's complete response. */
export interface ResponseContent {
  readonly status: number;
  readonly headers: Readonly<Record<string, HeaderValue>>;
  readonly body: Uint8Array;
}

export type HeaderValue = string | number | string[] | undefined;

/** Sends one service's requests to its endpoints. */
export type ServiceSender = EndpointSender<RequestContent, ResponseContent> & Disposable;

/** External dependencies of `EntryCore`. */
export interface CoreServices {
  readonly clock: Clock;
  readonly random: Random;
  /** Creates a unique identifier that is never reused. */
  readonly createId: () => string;
  readonly transport: StoreTransport;
  readonly instanceList: InstanceList;
  readonly workerClient: WorkerClient;
  readonly createMesh: (describe: DigestContentFactory) => Mesh;
  readonly createSender: (section: ServiceSection) => ServiceSender;
}

/** Settings of `EntryCore`. */
export interface CoreSettings {
  /** Generated at every start; never reused. */
  readonly instanceId: string;
  readonly dataCentre: string;
  /** `host:port` of the mesh listener, as in the platform's instance list. */
  readonly meshAddress: string;
  readonly storeCallsPerSecond: number;
  readonly storeTimeoutMs: number;
  readonly listIntervalMs: number;
}
