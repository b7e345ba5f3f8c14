import type { Server } from 'node:http';

import type { Clock, Event, Secret } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';

import { Membership } from './Membership.js';
import type {
  DigestContentFactory,
  Mesh,
  MeshIdentity,
  MeshTraffic,
  RequestHandler,
} from './Mesh.js';
import { isDigestDue } from './Mesh.js';
import { MeshError, MeshErrorKind } from './MeshError.js';
import { MeshServer } from './MeshServer.js';
import type { Digest, PeerAddress } from './Message.js';
import { MessageKind } from './Message.js';
import { PeerLink } from './PeerLink.js';

const digestIntervalMs = 1_000;
/** The digests of every nth round also contain the instances known to be alive. */
const peerExchangeInterval = 32;

/**
 * Takes part in the mesh: keeps a link to every known peer and sends digests once a second, less
 * frequently to instances of other data centres.
 */
export class MeshNode implements Mesh {
  public readonly membership: Membership;

  private readonly links = new Map<string, PeerLink>();

  private readonly server: MeshServer;

  private readonly digestReceived = new Emitter<Digest>();

  public readonly onDigest: Event<Digest> = this.digestReceived.event;

  private readonly membersChanged = new Emitter<void>();

  public readonly onMembersChanged: Event<void> = this.membersChanged.event;

  private readonly rejected = new Emitter<string>();

  public readonly onRejected: Event<string> = this.rejected.event;

  private readonly requestHandlers = new Map<string, RequestHandler>();

  private readonly timer: NodeJS.Timeout;

  private sequence = 0;

  private digestRounds = 0;

  private bytesSentOnClosedLinks = 0;

  private bytesReceivedOnClosedLinks = 0;

  public constructor(
    private readonly identity: MeshIdentity,
    private readonly token: Secret,
    server: Server,
    private readonly clock: Clock,
    private readonly createDigestContent: DigestContentFactory,
  ) {
    this.membership = new Membership(identity.instanceId, identity.dataCentre);
    this.server = new MeshServer(server, token, {
      onDigest: (digest) => this.handleDigest(digest),
      onRejected: (reason) => this.rejected.fire(reason),
      requestHandlers: this.requestHandlers,
    });
    this.timer = setInterval(() => this.tick(), digestIntervalMs);
  }

  public registerHandler(topic: string, handler: RequestHandler): void {
    this.requestHandlers.set(topic, handler);
  }

  public updateListed(peers: readonly PeerAddress[]): void {
    if (this.membership.updateListed(peers, this.clock.monotonic())) {
      this.reconcileLinks();
    }
  }

  public broadcastDigest(): void {
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
      const message = `unknown instance "${instanceId}"`;
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
        this.bytesSentOnClosedLinks,
      received:
        links.reduce((sum, link) => sum + link.bytesReceived, 0) +
        this.server.bytesReceived +
        this.bytesReceivedOnClosedLinks,
    };
  }

  public [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.links.forEach((link) => link[Symbol.dispose]());
    this.links.clear();
    this.server[Symbol.dispose]();
    this.digestReceived[Symbol.dispose]();
    this.membersChanged[Symbol.dispose]();
    this.rejected[Symbol.dispose]();
  }

  private tick(): void {
    const now = this.clock.monotonic();
    const hasNewSuspects = this.membership.detectTimeouts(now);
    if (hasNewSuspects) {
      this.membersChanged.fire();
    }
    this.digestRounds += 1;
    const includesPeers = this.digestRounds % peerExchangeInterval === 0;
    this.links.forEach((link, instanceId) => {
      const dataCentre = this.membership.get(instanceId)?.dataCentre;
      if (isDigestDue(this.digestRounds, dataCentre === this.identity.dataCentre)) {
        this.sendDigest(instanceId, link, includesPeers);
      }
    });
  }

  private handleDigest(digest: Digest): void {
    const now = this.clock.monotonic();
    const previousState = this.membership.get(digest.instanceId)?.state;
    if (!this.membership.applyDigest(digest, now)) {
      return;
    }
    const hasNewPeers = this.membership.addPeers(digest.peers, now);
    this.reconcileLinks();
    if (hasNewPeers || previousState !== this.membership.get(digest.instanceId)?.state) {
      this.membersChanged.fire();
    }
    this.digestReceived.fire(digest);
  }

  private reconcileLinks(): void {
    const expectedMembers = new Map(
      this.membership.all.map((member) => [member.instanceId, member]),
    );
    this.links.forEach((link, instanceId) => {
      if (!expectedMembers.has(instanceId)) {
        this.bytesSentOnClosedLinks += link.bytesSent;
        this.bytesReceivedOnClosedLinks += link.bytesReceived;
        link[Symbol.dispose]();
        this.links.delete(instanceId);
      }
    });
    expectedMembers.forEach((member, instanceId) => {
      if (!this.links.has(instanceId)) {
        const target = { address: member.address, token: this.token };
        const link = new PeerLink(target, this.clock, () =>
          this.sendDigest(instanceId, link, true),
        );
        this.links.set(instanceId, link);
      }
    });
  }

  private sendDigest(instanceId: string, link: PeerLink, includesPeers: boolean): void {
    const dataCentre = this.membership.get(instanceId)?.dataCentre;
    this.sequence += 1;
    const { instanceId: ownId, dataCentre: ownDataCentre, address } = this.identity;
    const digest: Digest = {
      instanceId: ownId,
      dataCentre: ownDataCentre,
      address,
      ...this.createDigestContent(dataCentre === ownDataCentre),
      sequence: this.sequence,
      peers: includesPeers ? this.alivePeerAddresses() : [],
    };
    link.send({ kind: MessageKind.digest, digest });
  }

  private alivePeerAddresses(): PeerAddress[] {
    return this.membership.aliveMembers().map((member) => ({
      instanceId: member.instanceId,
      dataCentre: member.dataCentre,
      address: member.address,
    }));
  }
}
