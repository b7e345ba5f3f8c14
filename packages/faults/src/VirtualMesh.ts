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
import { CallFault } from './VirtualNetwork.js';

const digestIntervalMs = 1_000;
const postTimeoutMs = 2_000;

/** The mesh of one virtual instance: real membership over the virtual network. */
export class VirtualMesh implements Mesh {
  public readonly membership: Membership;

  public readonly traffic: MeshTraffic = { sent: 0, received: 0 };

  private readonly heard = new Emitter<Digest>();

  public readonly onDigest: Event<Digest> = this.heard.event;

  private readonly membersChanged = new Emitter<void>();

  public readonly onMembersChanged: Event<void> = this.membersChanged.event;

  private readonly rejected = new Emitter<string>();

  public readonly onRejected: Event<string> = this.rejected.event;

  private readonly topics = new Map<string, RequestHandler>();

  private readonly timer: NodeJS.Timeout;

  private sequence = 0;

  private rounds = 0;

  /** @param directory the meshes of all instances by address */
  public constructor(
    private readonly identity: MeshIdentity,
    private readonly describe: DigestContentFactory,
    private readonly network: VirtualNetwork,
    private readonly directory: Map<string, VirtualMesh>,
    private readonly now: () => number,
  ) {
    this.membership = new Membership(identity.instanceId, identity.dataCentre);
    directory.set(identity.address, this);
    this.timer = setInterval(() => this.tick(), digestIntervalMs);
  }

  public registerHandler(topic: string, handler: RequestHandler): void {
    this.topics.set(topic, handler);
  }

  public updateListed(peers: readonly PeerAddress[]): void {
    this.membership.updateListed(peers, this.now());
  }

  public broadcastDigest(): void {
    this.membership.all.forEach((member) => this.post(member));
  }

  public async request(
    instanceId: string,
    topic: string,
    body: unknown,
    deadline: number,
  ): Promise<Result<unknown, MeshError>> {
    const address = this.membership.get(instanceId)?.address ?? '';
    const work = async (): Promise<unknown> =>
      this.directory.get(address)?.topics.get(topic)?.(structuredClone(body));
    const answer = await this.network.call(this.identity.address, address, work, deadline);
    return answer.mapErr((fault) => {
      const kind = fault === CallFault.refused ? MeshErrorKind.notSent : MeshErrorKind.unanswered;
      return new MeshError(kind, `${topic}: ${fault}`);
    });
  }

  public [Symbol.dispose](): void {
    clearInterval(this.timer);
    if (this.directory.get(this.identity.address) === this) {
      this.directory.delete(this.identity.address);
    }
  }

  private tick(): void {
    if (this.network.isDead(this.identity.address)) {
      return;
    }
    if (this.membership.detectTimeouts(this.now())) {
      this.membersChanged.fire();
    }
    this.rounds += 1;
    this.membership.all
      .filter((member) => isDigestDue(this.rounds, member.dataCentre === this.identity.dataCentre))
      .forEach((member) => this.post(member));
  }

  private post(peer: PeerAddress): void {
    this.sequence += 1;
    const digest: Digest = structuredClone({
      ...this.identity,
      ...this.describe(peer.dataCentre === this.identity.dataCentre),
      sequence: this.sequence,
      peers: [],
    });
    const deliver = (): void => this.directory.get(peer.address)?.hear(digest);
    const deadline = this.now() + postTimeoutMs;
    this.network.call(this.identity.address, peer.address, deliver, deadline).catch(() => {});
  }

  private hear(digest: Digest): void {
    const before = this.membership.get(digest.instanceId)?.state;
    if (!this.membership.applyDigest(digest, this.now())) {
      return;
    }
    if (before !== this.membership.get(digest.instanceId)?.state) {
      this.membersChanged.fire();
    }
    this.heard.fire(digest);
  }
}
