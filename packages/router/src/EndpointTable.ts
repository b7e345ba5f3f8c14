import type { Random } from '@apricothoist/common';
import { rendezvousWeight } from '@apricothoist/common';

import { Endpoint, EndpointState } from './Endpoint.js';

/** An endpoint as reported by the platform's instance list or by a peer. */
export interface EndpointInfo {
  readonly id: string;
  readonly address: string;
  readonly isLeaving: boolean;
}

/** Largest share of the endpoints that may be ejected at the same time. */
const maxEjectedShare = 0.5;
/** Number of leaving endpoints to remember, so that a stale list does not add them again. */
const maxDepartedIds = 1_000;

/**
 * The endpoints of one service in one data centre, as seen by one instance. Rendezvous hashing
 * assigns the slots of every endpoint to the instances without any coordination. An instance uses
 * its own slots first and then borrows idle slots of other instances. In both cases it picks the
 * less loaded of two random endpoints, by its own count and the load that peers reported. These
 * counts are estimates; an endpoint enforces its limit itself by refusing requests.
 */
export class EndpointTable {
  private readonly endpoints = new Map<string, Endpoint>();

  /** Endpoints that were reported as leaving, including those that the table no longer holds. */
  private readonly departedIds = new Set<string>();

  /** Number of slots that this instance owns, by endpoint. */
  private ownedSlots = new Map<string, number>();

  private members: readonly string[] = [];

  private hasReceivedList = false;

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
   * Applies the instance list of the platform. An endpoint that was seen leaving is never added
   * again; one that was only missing may be, because lists can be read out of order.
   */
  public update(infos: readonly EndpointInfo[], now: number): void {
    const listed = new Set(infos.map((info) => info.id));
    this.all.forEach((endpoint) => {
      endpoint.isListed = listed.has(endpoint.id);
      this.removeIfIdle(endpoint);
    });
    infos.forEach((info) => this.addOrMarkLeaving(info, now));
    this.hasReceivedList = this.hasReceivedList || infos.length > 0;
    this.assignSlots();
  }

  /**
   * Marks an endpoint as leaving, whether the list, a peer or the endpoint itself reported it.
   * Returns true if the endpoint is known and was not marked before.
   */
  public markLeaving(id: string): boolean {
    const endpoint = this.endpoints.get(id);
    const isFirstReport = !this.departedIds.has(id);
    this.rememberDeparted(id);
    endpoint?.leave();
    return isFirstReport && endpoint !== undefined;
  }

  /** Identifiers of endpoints that are leaving and not yet removed from the table. */
  public get leavingIds(): string[] {
    return [...this.departedIds].filter((id) => this.endpoints.has(id));
  }

  /** Sets the identifiers of the instances that share the endpoints, including this one. */
  public setMembers(members: readonly string[]): void {
    this.members = [...members].sort();
    this.assignSlots();
  }

  /** Selects an endpoint for one more request; undefined if none has free capacity. */
  public choose(excluded: ReadonlySet<string>, now: number): Endpoint | undefined {
    const open = this.all.filter(
      (endpoint) => !excluded.has(endpoint.id) && endpoint.hasCapacity(now),
    );
    const own = open.filter((endpoint) => endpoint.inFlight < this.ownedSlotsOf(endpoint.id));
    if (own.length > 0) {
      return this.pickLessLoaded(own, now);
    }
    const borrowable = open.filter((endpoint) => endpoint.isBorrowable(now));
    return borrowable.length > 0 ? this.pickLessLoaded(borrowable, now) : undefined;
  }

  /** Number of requests this instance may have in flight now, including those already in flight. */
  public usableSlots(now: number): number {
    return this.all.reduce((sum, endpoint) => {
      const allowed = endpoint.allowedSlots(now);
      const ownShare = Math.min(allowed, this.ownedSlotsOf(endpoint.id));
      const withBorrowed = endpoint.isBorrowable(now) ? endpoint.inFlight + 1 : 0;
      const usable = endpoint.hasCapacity(now) ? Math.max(ownShare, withBorrowed) : 0;
      return sum + Math.max(endpoint.inFlight, usable);
    }, 0);
  }

  /** Whether any endpoint accepts requests, regardless of its free capacity. */
  public isAnyOpen(now: number): boolean {
    return this.all.some((endpoint) => endpoint.isOpen(now));
  }

  /** Records the outcome of a request and ejects the endpoint if its failure rate is too high. */
  public recordOutcome(endpoint: Endpoint, isSuccess: boolean, now: number): void {
    if (endpoint.recordOutcome(isSuccess) && this.mayEject()) {
      endpoint.eject(now);
    }
  }

  /** Number of slots of an endpoint that this instance owns. */
  public ownedSlotsOf(endpointId: string): number {
    return this.ownedSlots.get(endpointId) ?? 0;
  }

  /** Releases the slot of a request that has ended, whatever its outcome. */
  public releaseSlot(endpoint: Endpoint): void {
    endpoint.inFlight -= 1;
    this.removeIfIdle(endpoint);
  }

  private addOrMarkLeaving(info: EndpointInfo, now: number): void {
    if (info.isLeaving || this.departedIds.has(info.id)) {
      this.markLeaving(info.id);
      return;
    }
    if (!this.endpoints.has(info.id)) {
      // Endpoints on the first list were running before this instance started: no warm-up needed.
      const isWarm = !this.hasReceivedList;
      const { id, address } = info;
      const endpoint = new Endpoint(id, address, this.slotsPerEndpoint, now, isWarm);
      this.endpoints.set(info.id, endpoint);
    }
  }

  private mayEject(): boolean {
    const ejected = this.all.filter((item) => item.state === EndpointState.ejected).length;
    return ejected + 1 <= this.endpoints.size * maxEjectedShare;
  }

  private pickLessLoaded(endpoints: readonly Endpoint[], now: number): Endpoint {
    const left = this.random.pick(endpoints);
    const right = this.random.pick(endpoints);
    return left.load(now) <= right.load(now) ? left : right;
  }

  private removeIfIdle(endpoint: Endpoint): void {
    if (!endpoint.isListed && endpoint.inFlight === 0) {
      this.endpoints.delete(endpoint.id);
    }
  }

  private rememberDeparted(id: string): void {
    this.departedIds.add(id);
    const [oldest] = this.departedIds;
    if (this.departedIds.size > maxDepartedIds && oldest !== undefined) {
      this.departedIds.delete(oldest);
    }
  }

  private assignSlots(): void {
    this.ownedSlots = new Map(
      this.all.map((endpoint) => [endpoint.id, this.countOwnedSlots(endpoint.id)]),
    );
  }

  // Divides the slots evenly; the remainder goes to the instances with the highest rendezvous
  // weight for this endpoint.
  private countOwnedSlots(endpointId: string): number {
    const ranking = this.members
      .map((member) => ({ member, weight: rendezvousWeight(endpointId, member) }))
      .sort((left, right) => right.weight - left.weight)
      .map((entry) => entry.member);
    const rank = ranking.indexOf(this.instanceId);
    const slots = Math.floor(this.slotsPerEndpoint / ranking.length);
    const ownsRemainderSlot = rank < this.slotsPerEndpoint % ranking.length;
    return rank < 0 ? 0 : slots + (ownsRemainderSlot ? 1 : 0);
  }
}
