import type { Random } from '@apricothoist/common';
import { rendezvousWeight } from '@apricothoist/common';

import { Endpoint, EndpointState } from './Endpoint.js';

/** What the platform or a peer says about an endpoint. */
export interface EndpointNotice {
  readonly id: string;
  readonly address: string;
  readonly isLeaving: boolean;
}

/** Share of the endpoints that may be ejected at a time. */
const maxEjectedShare = 0.5;
/** Removed endpoints that are remembered, so that a lagging list does not bring them back. */
const maxRemembered = 1_000;

/**
 * The endpoints of one service in one data centre, as one instance uses them. The slots of every
 * endpoint are dealt out to the instances by rendezvous hash, without any message. An
 * instance uses its own slots first and then borrows: of two random endpoints with room it takes
 * the less loaded one, by its own count and what peers reported. The endpoint's refusal is final.
 */
export class EndpointTable {
  private readonly endpoints = new Map<string, Endpoint>();

  private readonly departed = new Set<string>();

  /** Slots of each endpoint that this instance owns. */
  private ownedSlots = new Map<string, number>();

  private members: readonly string[] = [];

  private hasList = false;

  public constructor(
    private readonly instanceId: string,
    private readonly slotsPerEndpoint: number,
    private readonly random: Random,
  ) {}

  public get all(): Endpoint[] {
    return [...this.endpoints.values()];
  }

  public get(id: string): Endpoint | undefined {
    return this.endpoints.get(id);
  }

  /**
   * Takes over the platform's list. An endpoint once seen leaving never comes back; one that is
   * only missing may, because the list can be read out of order.
   */
  public update(notices: readonly EndpointNotice[], now: number): void {
    const listed = new Set(notices.map((notice) => notice.id));
    this.all.forEach((endpoint) => {
      endpoint.isListed = listed.has(endpoint.id);
      this.forgetIfIdle(endpoint);
    });
    notices.forEach((notice) => this.take(notice, now));
    this.hasList = this.hasList || notices.length > 0;
    this.assignSlots();
  }

  /** Notes that an endpoint is leaving, whoever said so first. Returns whether that is news. */
  public markLeaving(id: string): boolean {
    const endpoint = this.endpoints.get(id);
    const isNews = !this.departed.has(id);
    this.remember(id);
    endpoint?.leave();
    return isNews && endpoint !== undefined;
  }

  /** Endpoints that are known to be leaving and may still be on the list. */
  public get leavingIds(): string[] {
    return [...this.departed].filter((id) => this.endpoints.has(id));
  }

  /** Sets the instances that share the endpoints, this one included. */
  public setMembers(members: readonly string[]): void {
    this.members = [...members].sort();
    this.assignSlots();
  }

  /** The best endpoint for one more request, or undefined when none has room. */
  public choose(excluded: ReadonlySet<string>, now: number): Endpoint | undefined {
    const open = this.all.filter((endpoint) => !excluded.has(endpoint.id) && endpoint.hasRoom(now));
    const own = open.filter((endpoint) => endpoint.inFlight < this.ownedSlotsOf(endpoint.id));
    if (own.length > 0) {
      return this.lessLoaded(own, now);
    }
    const borrowable = open.filter((endpoint) => endpoint.isBorrowable(now));
    return borrowable.length > 0 ? this.lessLoaded(borrowable, now) : undefined;
  }

  /** Requests that this instance can have in flight now, those in flight included. */
  public usableSlots(now: number): number {
    return this.all.reduce((sum, endpoint) => {
      const allowed = endpoint.allowedSlots(now);
      const ownShare = Math.min(allowed, this.ownedSlotsOf(endpoint.id));
      const withBorrowed = endpoint.isBorrowable(now) ? endpoint.inFlight + 1 : 0;
      const usable = endpoint.hasRoom(now) ? Math.max(ownShare, withBorrowed) : 0;
      return sum + Math.max(endpoint.inFlight, usable);
    }, 0);
  }

  /** Whether any endpoint takes requests, busy or not. */
  public isAnyOpen(now: number): boolean {
    return this.all.some((endpoint) => endpoint.isOpen(now));
  }

  /** Notes how a request ended at an endpoint, and ejects it when it fails too often. */
  public record(endpoint: Endpoint, isSuccess: boolean, now: number): void {
    if (endpoint.record(isSuccess) && this.mayEject()) {
      endpoint.eject(now);
    }
  }

  /** Slots of an endpoint that this instance owns. */
  public ownedSlotsOf(endpointId: string): number {
    return this.ownedSlots.get(endpointId) ?? 0;
  }

  /** Notes that a request to the endpoint has ended, however it ended. */
  public finish(endpoint: Endpoint): void {
    endpoint.inFlight -= 1;
    this.forgetIfIdle(endpoint);
  }

  private take(notice: EndpointNotice, now: number): void {
    if (notice.isLeaving || this.departed.has(notice.id)) {
      this.markLeaving(notice.id);
      return;
    }
    if (!this.endpoints.has(notice.id)) {
      // Endpoints on the first list were there before this instance: they are warm.
      const isWarm = !this.hasList;
      const { id, address } = notice;
      const endpoint = new Endpoint(id, address, this.slotsPerEndpoint, now, isWarm);
      this.endpoints.set(notice.id, endpoint);
    }
  }

  private mayEject(): boolean {
    const ejected = this.all.filter((item) => item.state === EndpointState.ejected).length;
    return ejected + 1 <= this.endpoints.size * maxEjectedShare;
  }

  private lessLoaded(endpoints: readonly Endpoint[], now: number): Endpoint {
    const left = this.random.pick(endpoints);
    const right = this.random.pick(endpoints);
    return left.load(now) <= right.load(now) ? left : right;
  }

  private forgetIfIdle(endpoint: Endpoint): void {
    if (!endpoint.isListed && endpoint.inFlight === 0) {
      this.endpoints.delete(endpoint.id);
    }
  }

  private remember(id: string): void {
    this.departed.add(id);
    const [oldest] = this.departed;
    if (this.departed.size > maxRemembered && oldest !== undefined) {
      this.departed.delete(oldest);
    }
  }

  private assignSlots(): void {
    this.ownedSlots = new Map(
      this.all.map((endpoint) => [endpoint.id, this.countOwned(endpoint.id)]),
    );
  }

  // Deals the slots of an endpoint out to the instances, in an order that is its own.
  private countOwned(endpointId: string): number {
    const order = this.members
      .map((member) => ({ member, weight: rendezvousWeight(endpointId, member) }))
      .sort((left, right) => right.weight - left.weight)
      .map((entry) => entry.member);
    const place = order.indexOf(this.instanceId);
    const slots = Math.floor(this.slotsPerEndpoint / order.length);
    const hasOneMore = place < this.slotsPerEndpoint % order.length;
    return place < 0 ? 0 : slots + (hasOneMore ? 1 : 0);
  }
}
