import { StateChart } from '@apricothoist/common';

import source from './endpoint.chart.json' with { type: 'json' };

export const EndpointState = {
  warming: 'warming',
  live: 'live',
  ejected: 'ejected',
  leaving: 'leaving',
} as const;
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

export const EndpointEvent = {
  warmed: 'warmed',
  eject: 'eject',
  readmit: 'readmit',
  leave: 'leave',
} as const;
export type EndpointEvent = (typeof EndpointEvent)[keyof typeof EndpointEvent];

/** Life of an endpoint as one instance sees it. */
export const endpointChart = new StateChart<EndpointState, EndpointEvent>(source);

/** Outcomes remembered for judging health. */
const windowSize = 16;
/** Idle slots that are left to their owners. */
const borrowMargin = 1;
const minOutcomes = 5;
const ejectFailureShare = 0.5;
const warmUpMs = 5_000;
const firstEjectionMs = 2_000;
const maxEjectionMs = 60_000;
/** Time in milliseconds for which an endpoint counts as full after it refused an own slot. */
const ownBusyMs = 10;
/** The same after it refused a borrowed slot: until peers have reported their load again. */
const borrowedBusyMs = 1_000;

/** One endpoint as one instance sees it. Times are monotonic milliseconds. */
export class Endpoint {
  private current: EndpointState = endpointChart.initial;

  private readonly outcomes: boolean[] = [];

  private warmAt: number;

  private readmitAt = 0;

  private ejections = 0;

  private busyUntil = 0;

  private notLentUntil = 0;

  /** Requests that this instance has sent and not heard of. */
  public inFlight = 0;

  /** False while the platform's list does not name the endpoint. */
  public isListed = true;

  /** Requests that other instances last reported to have in flight here. */
  public peerInFlight = 0;

  public constructor(
    public readonly id: string,
    public readonly address: string,
    public readonly slots: number,
    now: number,
    isWarm = false,
  ) {
    this.warmAt = isWarm ? now : now + warmUpMs;
  }

  public get state(): EndpointState {
    return this.current;
  }

  /** Requests that may be in flight from all instances: rises from one while warming up. */
  public allowedSlots(now: number): number {
    this.refresh(now);
    if (this.current === EndpointState.live) {
      return this.slots;
    }
    if (this.current !== EndpointState.warming) {
      return 0;
    }
    const share = 1 - Math.max(0, this.warmAt - now) / warmUpMs;
    return Math.max(1, Math.floor(this.slots * share));
  }

  /** Whether the endpoint takes requests, busy or not. */
  public isOpen(now: number): boolean {
    return this.isListed && this.allowedSlots(now) > 0;
  }

  /** Whether this instance may send one more request. */
  public hasRoom(now: number): boolean {
    return this.isListed && now >= this.busyUntil && this.inFlight < this.allowedSlots(now);
  }

  /** In-flight requests of all instances, as far as known, relative to the slots. */
  public load(now: number): number {
    return (this.inFlight + this.peerInFlight) / Math.max(1, this.allowedSlots(now));
  }

  /** Whether a slot that another instance owns may be used: some must be known to be idle. */
  public isBorrowable(now: number): boolean {
    const idle = this.allowedSlots(now) - this.inFlight - this.peerInFlight;
    return now >= this.notLentUntil && idle > borrowMargin;
  }

  /** Notes that the endpoint refused a request for lack of slots. */
  public noteBusy(now: number): void {
    this.busyUntil = now + ownBusyMs;
    this.notLentUntil = now + borrowedBusyMs;
  }

  public leave(): void {
    this.apply(EndpointEvent.leave);
  }

  /** Notes how a request ended. Returns whether the endpoint should be ejected. */
  public record(isSuccess: boolean): boolean {
    this.outcomes.push(isSuccess);
    if (this.outcomes.length > windowSize) {
      this.outcomes.shift();
    }
    if (isSuccess && this.current === EndpointState.live) {
      this.ejections = this.failureShare > 0 ? this.ejections : 0;
    }
    const isJudged = this.outcomes.length >= (this.ejections > 0 ? 2 : minOutcomes);
    return isJudged && this.failureShare >= ejectFailureShare;
  }

  public eject(now: number): void {
    const lengthMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** this.ejections);
    this.ejections += 1;
    this.readmitAt = now + lengthMs;
    this.outcomes.length = 0;
    this.apply(EndpointEvent.eject);
  }

  private get failureShare(): number {
    const failures = this.outcomes.filter((isSuccess) => !isSuccess).length;
    return this.outcomes.length === 0 ? 0 : failures / this.outcomes.length;
  }

  private refresh(now: number): void {
    if (this.current === EndpointState.ejected && now >= this.readmitAt) {
      this.warmAt = now + warmUpMs;
      this.apply(EndpointEvent.readmit);
    }
    if (this.current === EndpointState.warming && now >= this.warmAt) {
      this.apply(EndpointEvent.warmed);
    }
  }

  private apply(event: EndpointEvent): void {
    this.current = endpointChart.next(this.current, event);
  }
}
