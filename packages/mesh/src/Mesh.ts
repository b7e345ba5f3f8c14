import type { Event } from '@apricothoist/common';
import type { Result } from 'neverthrow';

import type { Membership } from './Membership.js';
import type { MeshError } from './MeshError.js';
import type { Digest, PeerAddress } from './Message.js';

/** The changing part of a digest. */
export type DigestContent = Omit<
  Digest,
  'instanceId' | 'dataCentre' | 'address' | 'sequence' | 'peers'
>;

/** Who an instance is on the mesh. */
export interface MeshIdentity {
  readonly instanceId: string;
  readonly dataCentre: string;
  /** `host:port` of the mesh listener. */
  readonly address: string;
}

/** Traffic with peers since the start, in bytes of messages. */
export interface MeshTraffic {
  readonly sent: number;
  readonly received: number;
}

/** Answers requests of one topic. */
export type RequestHandler = (body: unknown) => Promise<unknown>;

/** What an instance says about itself; less is said to other data centres. */
export type Describe = (isSameDataCentre: boolean) => DigestContent;

/** The other entry instances, as one instance reaches them. */
export interface Mesh extends Disposable {
  readonly membership: Membership;
  /** Fires with every digest that is news. */
  readonly onDigest: Event<Digest>;
  readonly onMembersChanged: Event<void>;
  /** Fires when a link or a frame was refused. */
  readonly onRejected: Event<string>;
  readonly traffic: MeshTraffic;
  /** Registers what answers requests of a topic. */
  handle(topic: string, handler: RequestHandler): void;
  /** Takes over the entry instances of the platform's list. */
  updateListed(peers: readonly PeerAddress[]): void;
  /** Sends a digest to every peer now, for news that should not wait. */
  announce(): void;
  /** @param deadline monotonic milliseconds */
  request(
    instanceId: string,
    topic: string,
    body: unknown,
    deadline: number,
  ): Promise<Result<unknown, MeshError>>;
}

/** Rounds of one second between two digests to an instance of another data centre. */
const remoteDigestRounds = 4;

/** Whether a digest is due in this round. Instances of other data centres hear less often. */
export function isDigestDue(round: number, isSameDataCentre: boolean): boolean {
  return isSameDataCentre || round % remoteDigestRounds === 0;
}
