import type { Server } from 'node:http';

import type { Clock, Event, Secret } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';

import { Membership } from './Membership.js';
import type { Describe, Mesh, MeshIdentity, MeshTraffic, RequestHandler } from './Mesh.js';
import { isDigestDue } from './Mesh.js';
import { MeshError, MeshErrorKind } from './MeshError.js';
import { MeshServer } from './MeshServer.js';
import type { Digest, PeerAddress } from './Message.js';
import { MessageKind } from './Message.js';
import { PeerLink } from './PeerLink.js';

const digestIntervalMs = 1_000;
/** Every so many digests the known instances are sent along. */
const introductionInterval = 32;

/** One instance's place in the mesh: a link to every known peer, and digests once a second. */
export class MeshNode implements Mesh {
  public readonly membership: Membership;

  private readonly links = new Map<string, PeerLink>();

  private readonly server: MeshServer;

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

  private closedSent = 0;

  private closedReceived = 0;

  public constructor(
    private readonly identity: MeshIdentity,
    private readonly token: Secret,
    server: Server,
    private readonly clock: Clock,
    private readonly describe: Describe,
  ) {
    this.membership = new Membership(identity.instanceId, identity.dataCentre);
    this.server = new MeshServer(server, token, {
      onDigest: (digest) => this.hear(digest),
      onRejected: (reason) => this.rejected.fire(reason),
      topics: this.topics,
    });
    this.timer = setInterval(() => this.tick(), digestIntervalMs);
  }

  public handle(topic: string, handler: RequestHandler): void {
    this.topics.set(topic, handler);
  }

  public updateListed(peers: readonly PeerAddress[]): void {
    if (this.membership.updateListed(peers, this.clock.monotonic())) {
      this.reconcileLinks();
    }
  }

  public announce(): void {
    this.links.forEach((link, instanceId) => this.sendDigest(instanceId, link, false));
  }

  public request(
    instanceId: string,
    topic: string,
    body: unknown,
    deadline: number,
  ): Promise<Result<unknown, MeshError>> {
    const link = this.links.get(instanceId);
    if (link === undefined) {
      const message = `instance "${instanceId}" is not known`;
      return Promise.resolve(err(new MeshError(MeshErrorKind.notSent, message)));
    }
    return link.request(topic, body, deadline);
  }

  public get traffic(): MeshTraffic {
    const links = [...this.links.values()];
    return {
      sent:
        links.reduce((sum, link) => sum + link.bytesSent, 0) +
        this.server.bytesSent +
        this.closedSent,
      received:
        links.reduce((sum, link) => sum + link.bytesReceived, 0) +
        this.server.bytesReceived +
        this.closedReceived,
    };
  }

  public [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.links.forEach((link) => link[Symbol.dispose]());
    this.links.clear();
    this.server[Symbol.dispose]();
    this.heard[Symbol.dispose]();
    this.membersChanged[Symbol.dispose]();
    this.rejected[Symbol.dispose]();
  }

  private tick(): void {
    const now = this.clock.monotonic();
    const hasSilence = this.membership.tick(now);
    if (hasSilence) {
      this.membersChanged.fire();
    }
    this.rounds += 1;
    const hasPeers = this.rounds % introductionInterval === 0;
    this.links.forEach((link, instanceId) => {
      const dataCentre = this.membership.get(instanceId)?.dataCentre;
      if (isDigestDue(this.rounds, dataCentre === this.identity.dataCentre)) {
        this.sendDigest(instanceId, link, hasPeers);
      }
    });
  }

  private hear(digest: Digest): void {
    const now = this.clock.monotonic();
    const before = this.membership.get(digest.instanceId)?.state;
    if (!this.membership.hear(digest, now)) {
      return;
    }
    const hasNewPeers = this.membership.introduceAll(digest.peers, now);
    this.reconcileLinks();
    if (hasNewPeers || before !== this.membership.get(digest.instanceId)?.state) {
      this.membersChanged.fire();
    }
    this.heard.fire(digest);
  }

  private reconcileLinks(): void {
    const wanted = new Map(this.membership.all.map((member) => [member.instanceId, member]));
    this.links.forEach((link, instanceId) => {
      if (!wanted.has(instanceId)) {
        this.closedSent += link.bytesSent;
        this.closedReceived += link.bytesReceived;
        link[Symbol.dispose]();
        this.links.delete(instanceId);
      }
    });
    wanted.forEach((member, instanceId) => {
      if (!this.links.has(instanceId)) {
        const target = { address: member.address, token: this.token };
        const link = new PeerLink(target, this.clock, () =>
          this.sendDigest(instanceId, link, true),
        );
        this.links.set(instanceId, link);
      }
    });
  }

  private sendDigest(instanceId: string, link: PeerLink, hasPeers: boolean): void {
    const dataCentre = this.membership.get(instanceId)?.dataCentre;
    this.sequence += 1;
    const { instanceId: ownId, dataCentre: ownDataCentre, address } = this.identity;
    const digest: Digest = {
      instanceId: ownId,
      dataCentre: ownDataCentre,
      address,
      ...this.describe(dataCentre === ownDataCentre),
      sequence: this.sequence,
      peers: hasPeers ? this.introductions() : [],
    };
    link.post({ kind: MessageKind.digest, digest });
  }

  private introductions(): PeerAddress[] {
    return this.membership.alive().map((member) => ({
      instanceId: member.instanceId,
      dataCentre: member.dataCentre,
      address: member.address,
    }));
  }
}
