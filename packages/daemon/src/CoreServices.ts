import type { Clock, Random } from '@apricothoist/common';
import type { ServiceSection } from '@apricothoist/config';
import type { DigestContentFactory, Mesh } from '@apricothoist/mesh';
import type { InstanceList, StoreTransport, WorkerClient } from '@apricothoist/platform';
import type { EndpointSender } from '@apricothoist/router';

/** A caller's request as it is passed on. */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, HeaderValue>>;
  readonly body: Uint8Array;
}

/** An endpoint's whole answer. */
export interface AnswerContent {
  readonly status: number;
  readonly headers: Readonly<Record<string, HeaderValue>>;
  readonly body: Uint8Array;
}

export type HeaderValue = string | number | string[] | undefined;

/** Sends one service's requests to its endpoints. */
export type ServiceSender = EndpointSender<RequestContent, AnswerContent> & Disposable;

/** Everything outside an entry instance that its core works with. */
export interface CoreServices {
  readonly clock: Clock;
  readonly random: Random;
  /** Gives identifiers that are never reused. */
  readonly createId: () => string;
  readonly transport: StoreTransport;
  readonly instanceList: InstanceList;
  readonly workerClient: WorkerClient;
  readonly createMesh: (describe: DigestContentFactory) => Mesh;
  readonly createSender: (section: ServiceSection) => ServiceSender;
}

/** What an entry instance is told about itself. */
export interface CoreSettings {
  /** Never reused; made anew at every start. */
  readonly instanceId: string;
  readonly dataCentre: string;
  /** `host:port` of the mesh listener, as the platform lists it. */
  readonly meshAddress: string;
  readonly storeCallsPerSecond: number;
  readonly storeTimeoutMs: number;
  readonly listIntervalMs: number;
}
