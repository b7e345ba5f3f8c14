import { StateChart } from '@apricothoist/common';

import source from './instance.chart.json' with { type: 'json' };
import type { Digest, PeerAddress } from './Message.js';

export const MemberState = {
  /** Listed by the platform or named by a peer; no digest received yet. */
  listed: 'listed',
  alive: 'alive',
  suspect: 'suspect',
  leaving: 'leaving',
  gone: 'gone',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

export const MemberEvent = {
  digestReceived: 'digestReceived',
  timedOut: 'timedOut',
  left: 'left',
  /** The platform no longer lists it. */
  delisted: 'delisted',
  /** Another instance has taken over its address. */
  replaced: 'replaced',
} as const;
export type MemberEvent = (typeof MemberEvent)[keyof typeof MemberEvent];

/** Lifecycle of another instance as seen by one instance. */
export const instanceChart = new StateChart<MemberState, MemberEvent>(source);

/** State that an instance holds about another instance. */
export interface Member {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly state: MemberState;
  /** Monotonic milliseconds at which the last digest was received; 0 before the first. */
  readonly lastDigestAt: number;
  /** Monotonic milliseconds at which the instance became known. */
  readonly firstSeenAt: number;
  /** Monotonic milliseconds of the last list of the platform that contained it; 0 before the first. */
  readonly lastListedAt: number;
  readonly digest?: Digest;
}

/** Time without a digest, in milliseconds, after which an instance becomes suspect. */
export const suspectTimeoutMs = 3_500;
/** The same for instances of other data centres, which send digests less frequently. */
const remoteSuspectTimeoutMs = 13_000;
/**
 * Time in milliseconds for which an instance has to be missing from all lists, and silent, before it is
 * removed. A single list may be partial, and a removed instance counts as one that renews no leases.
 */
const removalTimeoutMs = 30_000;
/** Number of removed instances to remember, so that a stale list does not add them again. */
const maxTombstones = 1_000;

/**
 * The other instances, as learned from the platform's list, from their digests and from peers.
 * Instances are identified by their identifier, since an address can be reused by another instance.
 */
export class Membership {
  private readonly members = new Map<string, Member>();

  private readonly tombstones = new Set<string>();

  public constructor(
    private readonly ownId: string,
    private readonly ownDataCentre: string,
  ) {}

  public get all(): Member[] {
    return [...this.members.values()];
  }

  public get(instanceId: string): Member | undefined {
    return this.members.get(instanceId);
  }

  /** Members in state `alive`, optionally of one data centre only. */
  public aliveMembers(dataCentre?: string): Member[] {
    return this.all.filter(
      (member) =>
        member.state === MemberState.alive &&
        (dataCentre === undefined || member.dataCentre === dataCentre),
    );
  }

  /**
   * Applies the platform's list. The list lags, and its identifiers need not match those of the
   * processes, so a member counts as listed while its address is. Returns whether members changed.
   */
  public updateListed(listed: readonly PeerAddress[], now: number): boolean {
    const addresses = new Set(listed.map((peer) => peer.address));
    const known = new Set(this.all.map((member) => member.address));
    const hasNewPeers = listed
      .filter((peer) => !known.has(peer.address))
      .map((peer) => this.addPeer(peer, now))
      .some((isNew) => isNew);
    this.all.forEach(({ instanceId, address, lastDigestAt, firstSeenAt, lastListedAt }) => {
      if (addresses.has(address)) {
        this.updateMember(instanceId, { lastListedAt: now });
      } else if (now - Math.max(lastDigestAt, firstSeenAt, lastListedAt) > removalTimeoutMs) {
        this.applyEvent(instanceId, MemberEvent.delisted);
      }
    });
    return this.removeGone() || hasNewPeers;
  }

  /** Adds instances named by a peer. Returns whether any of them was new. */
  public addPeers(peers: readonly PeerAddress[], now: number): boolean {
    return peers.map((peer) => this.addPeer(peer, now)).some((isNew) => isNew);
  }

  /** Applies a digest. Returns false if it is not newer than the last one of that instance. */
  public applyDigest(digest: Digest, now: number): boolean {
    if (digest.instanceId === this.ownId) {
      return false;
    }
    // A digest sent by the instance itself proves that it is running.
    this.tombstones.delete(digest.instanceId);
    this.addPeer(digest, now);
    const member = this.members.get(digest.instanceId);
    if (member === undefined || digest.sequence <= (member.digest?.sequence ?? -1)) {
      return false;
    }
    this.removeReplacedBy(digest);
    this.updateMember(digest.instanceId, { digest, lastDigestAt: now, address: digest.address });
    this.applyEvent(
      digest.instanceId,
      digest.isLeaving ? MemberEvent.left : MemberEvent.digestReceived,
    );
    return true;
  }

  /** Marks instances without recent digests as suspect. Returns whether any state changed. */
  public detectTimeouts(now: number): boolean {
    return this.all
      .filter((member) => now - member.lastDigestAt > this.suspectTimeoutOf(member))
      .map((member) => this.applyEvent(member.instanceId, MemberEvent.timedOut))
      .some((isChanged) => isChanged);
  }

  private suspectTimeoutOf(member: Member): number {
    return member.dataCentre === this.ownDataCentre ? suspectTimeoutMs : remoteSuspectTimeoutMs;
  }

  private addPeer(peer: PeerAddress, now: number): boolean {
    const isKnown = this.members.has(peer.instanceId) || this.tombstones.has(peer.instanceId);
    if (peer.instanceId === this.ownId || isKnown) {
      return false;
    }
    const { instanceId, dataCentre, address } = peer;
    const state = instanceChart.initial;
    this.members.set(instanceId, {
      instanceId,
      dataCentre,
      address,
      state,
      lastDigestAt: 0,
      firstSeenAt: now,
      lastListedAt: 0,
    });
    return true;
  }

  // Removes the other members with the address of the digest: it now belongs to its sender. One of
  // them may be the sender itself, under the name that the platform lists.
  private removeReplacedBy(digest: Digest): void {
    this.all
      .filter((member) => member.address === digest.address)
      .filter((member) => member.instanceId !== digest.instanceId)
      .forEach((member) => this.applyEvent(member.instanceId, MemberEvent.replaced));
    this.removeGone();
  }

  private applyEvent(instanceId: string, event: MemberEvent): boolean {
    const member = this.members.get(instanceId);
    if (member === undefined || !instanceChart.accepts(member.state, event)) {
      return false;
    }
    this.updateMember(instanceId, { state: instanceChart.next(member.state, event) });
    return true;
  }

  private updateMember(instanceId: string, change: Partial<Member>): void {
    const member = this.members.get(instanceId);
    if (member !== undefined) {
      this.members.set(instanceId, { ...member, ...change });
    }
  }

  private removeGone(): boolean {
    const gone = this.all.filter((member) => member.state === MemberState.gone);
    gone.forEach((member) => {
      this.members.delete(member.instanceId);
      // Before the first digest only the listed name is known, which may move to another address.
      if (member.digest !== undefined) {
        this.tombstones.add(member.instanceId);
      }
    });
    const [oldest] = this.tombstones;
    if (this.tombstones.size > maxTombstones && oldest !== undefined) {
      this.tombstones.delete(oldest);
    }
    return gone.length > 0;
  }
}
