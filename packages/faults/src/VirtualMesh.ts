import type { Event } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type {
  DigestContentFactory,
  Digest,
  Mesh,
  MeshIdentity,
  MeshTraffic,
  PeerAddress,
  RequestHandler,
} from '@apricothoist/mesh';
import { isDigestDue, Membership, MeshError, MeshErrorKind } from '@apricothoist/mesh';
import type { Result } from 'neverthrow';

import type { VirtualNetwork } from './VirtualNetwork.js';
import { CallFailure } from './VirtualNetwork.js';

const digestIntervalMs = 1_000;
const digestTimeoutMs = 2_000;

/** The mesh of one virtual instance: the product's membership over the virtual network. */
export class VirtualMesh implements Mesh {
  public readonly membership: Membership;

  public readonly traffic: MeshTraffic = { sent: 0, received: 0 };

  private readonly digestReceived = new Emitter<Digest>();

  public readonly onDigest: Event<Digest> = this.digestReceived.event;

  private readonly membersChanged = new Emitter<void>();

  public readonly onMembersChanged: Event<void> = this.membersChanged.event;

  private readonly rejected = new Emitter<string>();

  public readonly onRejected: Event<string> = this.rejected.event;

  private readonly handlers = new Map<string, RequestHandler>();

  private readonly timer: NodeJS.Timeout;

  private sequence = 0;

  private roundCount = 0;

  /** @param meshesByAddress shared by all instances; each mesh registers itself in it */
  public constructor(
    private readonly identity: MeshIdentity,
    private readonly createContent: DigestContentFactory,
    private readonly network: VirtualNetwork,
    private readonly meshesByAddress: Map<string, VirtualMesh>,
    private readonly now: () => number,
  ) {
    this.membership = new Membership(identity.instanceId, identity.dataCentre);
    meshesByAddress.set(identity.address, this);
    this.timer = setInterval(() => this.runRound(), digestIntervalMs);
  }

  public registerHandler(topic: string, handler: RequestHandler): void {
    this.handlers.set(topic, handler);
  }

  public updateListed(peers: readonly PeerAddress[]): void {
    this.membership.updateListed(peers, this.now());
  }

  public broadcastDigest(): void {
    this.membership.all.forEach((member) => this.sendDigest(member));
  }

  public async request(
    instanceId: string,
    topic: string,
    body: unknown,
    deadline: number,
  ): Promise<Result<unknown, MeshError>> {
    const address = this.membership.get(instanceId)?.address ?? '';
    const operation = async (): Promise<unknown> =>
      this.meshesByAddress.get(address)?.handlers.get(topic)?.(structuredClone(body));
    const response = await this.network.call(this.identity.address, address, operation, deadline);
    return response.mapErr((failure) => {
      const kind =
        failure === CallFailure.refused ? MeshErrorKind.notSent : MeshErrorKind.unanswered;
      return new MeshError(kind, `${topic}: ${failure}`);
    });
  }

  public [Symbol.dispose](): void {
    clearInterval(this.timer);
    if (this.meshesByAddress.get(this.identity.address) === this) {
      this.meshesByAddress.delete(this.identity.address);
    }
  }

  private runRound(): void {
    if (this.network.isDead(this.identity.address)) {
      return;
    }
    if (this.membership.detectTimeouts(this.now())) {
      this.membersChanged.fire();
    }
    this.roundCount += 1;
    this.membership.all
      .filter((member) =>
        isDigestDue(this.roundCount, member.dataCentre === this.identity.dataCentre),
      )
      .forEach((member) => this.sendDigest(member));
  }

  private sendDigest(peer: PeerAddress): void {
    this.sequence += 1;
    const digest: Digest = structuredClone({
      ...this.identity,
      ...this.createContent(peer.dataCentre === this.identity.dataCentre),
      sequence: this.sequence,
      peers: [],
    });
    const deliver = (): void => this.meshesByAddress.get(peer.address)?.handleDigest(digest);
    const deadline = this.now() + digestTimeoutMs;
    this.network.call(this.identity.address, peer.address, deliver, deadline).catch(() => {});
  }

  private handleDigest(digest: Digest): void {
    const previousState = this.membership.get(digest.instanceId)?.state;
    if (!this.membership.applyDigest(digest, this.now())) {
      return;
    }
    if (previousState !== this.membership.get(digest.instanceId)?.state) {
      this.membersChanged.fire();
    }
    this.digestReceived.fire(digest);
  }
}
