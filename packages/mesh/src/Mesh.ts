import type { Event } from '@apricothoist/common';
import type { Result } from 'neverthrow';

import type { Membership } from './Membership.js';
import type { MeshError } from './MeshError.js';
import type { Digest, PeerAddress } from './Message.js';

/** The part of a digest that changes between digests. */
export type DigestContent = Omit<
  Digest,
  'instanceId' | 'dataCentre' | 'address' | 'sequence' | 'peers'
>;

/** Identity of an instance in the mesh. */
export interface MeshIdentity {
  readonly instanceId: string;
  readonly dataCentre: string;
  /** `host:port` of the mesh listener. */
  readonly address: string;
}

/** Message bytes exchanged with peers since the process started. */
export interface MeshTraffic {
  readonly sent: number;
  readonly received: number;
}

/** Handles the requests of one topic; the result is sent back as the response. */
export type RequestHandler = (body: unknown) => Promise<unknown>;

/** Creates the content of a digest; it is reduced for instances of other data centres. */
export type DigestContentFactory = (isSameDataCentre: boolean) => DigestContent;

/** Communication of one entry instance with the others. */
export interface Mesh extends Disposable {
  readonly membership: Membership;
  /** Fires for every digest that is newer than the last one of its sender. */
  readonly onDigest: Event<Digest>;
  readonly onMembersChanged: Event<void>;
  /** Fires with the reason when a link or a frame was rejected. */
  readonly onRejected: Event<string>;
  readonly traffic: MeshTraffic;
  /** Registers the handler for requests of a topic. */
  registerHandler(topic: string, handler: RequestHandler): void;
  /** Applies the entry instances of the platform's list. */
  updateListed(peers: readonly PeerAddress[]): void;
  /** Sends every peer a digest immediately, for changes that should not wait for the next round. */
  broadcastDigest(): void;
  /** @param deadline monotonic milliseconds */
  request(
    instanceId: string,
    topic: string,
    body: unknown,
    deadline: number,
  ): Promise<Result<unknown, MeshError>>;
}

/** Number of rounds of one second per digest sent to an instance of another data centre. */
const remoteDigestInterval = 4;

/** Whether a digest is due in this round; other data centres receive digests less frequently. */
export function isDigestDue(round: number, isSameDataCentre: boolean): boolean {
  return isSameDataCentre || round % remoteDigestInterval === 0;
}
