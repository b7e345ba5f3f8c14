import { StateChart } from '@apricothoist/common';

import source from './instance.chart.json' with { type: 'json' };
import type { Digest, PeerAddress } from './Message.js';

export const MemberState = {
  /** Named by the platform or a peer, not heard of yet. */
  listed: 'listed',
  alive: 'alive',
  suspect: 'suspect',
  leaving: 'leaving',
  gone: 'gone',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

export const MemberEvent = {
  heard: 'heard',
  silent: 'silent',
  left: 'left',
  /** The platform does not list it any more. */
  delisted: 'delisted',
  /** Another instance answers at its address. */
  replaced: 'replaced',
} as const;
export type MemberEvent = (typeof MemberEvent)[keyof typeof MemberEvent];

/** Life of another instance as one instance sees it. */
export const instanceChart = new StateChart<MemberState, MemberEvent>(source);

/** Another instance. */
export interface Member {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly state: MemberState;
  /** Monotonic milliseconds of the last digest; 0 before the first. */
  readonly heardAt: number;
  /** Monotonic milliseconds at which it was first named. */
  readonly knownSince: number;
  readonly isListed: boolean;
  readonly digest?: Digest;
}

/** Silence in milliseconds after which an instance is not counted on. */
export const suspectAfterMs = 3_500;
/** The same for instances of other data centres, which send digests less often. */
const remoteSuspectAfterMs = 13_000;
/** Silence in milliseconds after which an instance that the platform does not list is dropped. */
const forgetAfterMs = 30_000;
/** Identifiers of instances that are gone, kept so that a lagging list does not bring them back. */
const maxTombstones = 1_000;

/**
 * The other instances, from the platform's list, from their digests and from what peers say. An
 * instance is known by its identifier; an address may be used again by another one.
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

  /** Instances that can be counted on. */
  public alive(dataCentre?: string): Member[] {
    return this.all.filter(
      (member) =>
        member.state === MemberState.alive &&
        (dataCentre === undefined || member.dataCentre === dataCentre),
    );
  }

  /**
   * Takes over the platform's list, which lags and knows addresses better than processes: a
   * member counts as listed while its address is. Returns whether the members have changed.
   */
  public updateListed(listed: readonly PeerAddress[], now: number): boolean {
    const addresses = new Set(listed.map((peer) => peer.address));
    const known = new Set(this.all.map((member) => member.address));
    const isExtended = listed
      .filter((peer) => !known.has(peer.address))
      .map((peer) => this.introduce(peer, now))
      .some((isNew) => isNew);
    this.all.forEach((member) => {
      const isListed = addresses.has(member.address);
      this.patch(member.instanceId, { isListed });
      const isQuiet = now - Math.max(member.heardAt, member.knownSince) > forgetAfterMs;
      if (!isListed && isQuiet) {
        this.apply(member.instanceId, MemberEvent.delisted);
      }
    });
    return this.dropGone() || isExtended;
  }

  /** Adds instances that a peer has named. Returns whether any was new. */
  public introduceAll(peers: readonly PeerAddress[], now: number): boolean {
    return peers.map((peer) => this.introduce(peer, now)).some((isNew) => isNew);
  }

  /** Takes a digest; false when it is older than the newest one of that instance. */
  public hear(digest: Digest, now: number): boolean {
    if (digest.instanceId === this.ownId) {
      return false;
    }
    // A gone instance that speaks for itself is not gone.
    this.tombstones.delete(digest.instanceId);
    this.introduce(digest, now);
    const member = this.members.get(digest.instanceId);
    if (member === undefined || digest.sequence <= (member.digest?.sequence ?? -1)) {
      return false;
    }
    this.replaceOthersAt(digest);
    this.patch(digest.instanceId, { digest, heardAt: now, address: digest.address });
    this.apply(digest.instanceId, digest.isLeaving ? MemberEvent.left : MemberEvent.heard);
    return true;
  }

  /** Notes silences. Returns whether an instance has become suspect. */
  public tick(now: number): boolean {
    return this.all
      .filter((member) => now - member.heardAt > this.suspectAfter(member))
      .map((member) => this.apply(member.instanceId, MemberEvent.silent))
      .some((isChanged) => isChanged);
  }

  private suspectAfter(member: Member): number {
    return member.dataCentre === this.ownDataCentre ? suspectAfterMs : remoteSuspectAfterMs;
  }

  private introduce(peer: PeerAddress, now: number): boolean {
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
      heardAt: 0,
      knownSince: now,
      isListed: false,
    });
    return true;
  }

  private replaceOthersAt(digest: Digest): void {
    this.all
      .filter((member) => member.address === digest.address)
      .filter((member) => member.instanceId !== digest.instanceId)
      .forEach((member) => this.apply(member.instanceId, MemberEvent.replaced));
    this.dropGone();
  }

  private apply(instanceId: string, event: MemberEvent): boolean {
    const member = this.members.get(instanceId);
    if (member === undefined || !instanceChart.accepts(member.state, event)) {
      return false;
    }
    this.patch(instanceId, { state: instanceChart.next(member.state, event) });
    return true;
  }

  private patch(instanceId: string, change: Partial<Member>): void {
    const member = this.members.get(instanceId);
    if (member !== undefined) {
      this.members.set(instanceId, { ...member, ...change });
    }
  }

  private dropGone(): boolean {
    const gone = this.all.filter((member) => member.state === MemberState.gone);
    gone.forEach((member) => {
      this.members.delete(member.instanceId);
      this.tombstones.add(member.instanceId);
    });
    const [oldest] = this.tombstones;
    if (this.tombstones.size > maxTombstones && oldest !== undefined) {
      this.tombstones.delete(oldest);
    }
    return gone.length > 0;
  }
}
