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

/** Lifecycle of an endpoint as seen by one instance. */
export const endpointChart = new StateChart<EndpointState, EndpointEvent>(source);

/** Number of recent outcomes from which the failure rate is computed. */
const outcomeWindowSize = 16;
/** Idle slots of an endpoint that are never borrowed, so that their owners find them free. */
const unborrowableSlots = 1;
/** Outcomes needed to eject an endpoint without a recent ejection; after one, two suffice. */
const minOutcomesToEject = 5;
const ejectFailureShare = 0.5;
const warmUpMs = 5_000;
const initialEjectionMs = 2_000;
const maxEjectionMs = 60_000;
/** Time in milliseconds for which an endpoint is treated as full after it refused a request. */
const busyBackoffMs = 10;
/** The same for borrowing its slots: long enough for peers to report their load again. */
const borrowBackoffMs = 1_000;

/** One endpoint as seen by one instance. Times are monotonic milliseconds. */
export class Endpoint {
  private currentState: EndpointState = endpointChart.initial;

  private readonly outcomes: boolean[] = [];

  private warmUpEndsAt: number;

  private readmitAt = 0;

  private ejections = 0;

  private busyUntil = 0;

  private borrowableFrom = 0;

  /** Requests sent by this instance that have not ended. */
  public inFlight = 0;

  /** Whether the endpoint is on the instance list of the platform. */
  public isListed = true;

  /** Requests in flight from other instances, according to their latest reports. */
  public peerInFlight = 0;

  public constructor(
    public readonly id: string,
    public readonly address: string,
    public readonly slots: number,
    now: number,
    isWarm = false,
  ) {
    this.warmUpEndsAt = isWarm ? now : now + warmUpMs;
  }

  public get state(): EndpointState {
    return this.currentState;
  }

  /** Limit on in-flight requests from all instances; grows linearly from one during warm-up. */
  public allowedSlots(now: number): number {
    this.refresh(now);
    if (this.currentState === EndpointState.live) {
      return this.slots;
    }
    if (this.currentState !== EndpointState.warming) {
      return 0;
    }
    const share = 1 - Math.max(0, this.warmUpEndsAt - now) / warmUpMs;
    return Math.max(1, Math.floor(this.slots * share));
  }

  /** Whether the endpoint accepts requests, regardless of its free capacity. */
  public isOpen(now: number): boolean {
    return this.isListed && this.allowedSlots(now) > 0;
  }

  /** Whether this instance may send one more request. */
  public hasCapacity(now: number): boolean {
    return this.isListed && now >= this.busyUntil && this.inFlight < this.allowedSlots(now);
  }

  /** Known in-flight requests of all instances divided by the allowed slots. */
  public load(now: number): number {
    return (this.inFlight + this.peerInFlight) / Math.max(1, this.allowedSlots(now));
  }

  /** Whether a slot owned by another instance may be used, judging by the known idle slots. */
  public isBorrowable(now: number): boolean {
    const idle = this.allowedSlots(now) - this.inFlight - this.peerInFlight;
    return now >= this.borrowableFrom && idle > unborrowableSlots;
  }

  /** Records that the endpoint refused a request for lack of slots. */
  public markBusy(now: number): void {
    this.busyUntil = now + busyBackoffMs;
    this.borrowableFrom = now + borrowBackoffMs;
  }

  public leave(): void {
    this.apply(EndpointEvent.leave);
  }

  /** Records the outcome of a request. Returns whether the endpoint should be ejected. */
  public recordOutcome(isSuccess: boolean): boolean {
    this.outcomes.push(isSuccess);
    if (this.outcomes.length > outcomeWindowSize) {
      this.outcomes.shift();
    }
    if (isSuccess && this.currentState === EndpointState.live) {
      this.ejections = this.failureShare > 0 ? this.ejections : 0;
    }
    const hasEnoughOutcomes = this.outcomes.length >= (this.ejections > 0 ? 2 : minOutcomesToEject);
    return hasEnoughOutcomes && this.failureShare >= ejectFailureShare;
  }

  public eject(now: number): void {
    const ejectionMs = Math.min(maxEjectionMs, initialEjectionMs * 2 ** this.ejections);
    this.ejections += 1;
    this.readmitAt = now + ejectionMs;
    this.outcomes.length = 0;
    this.apply(EndpointEvent.eject);
  }

  private get failureShare(): number {
    const failures = this.outcomes.filter((isSuccess) => !isSuccess).length;
    return this.outcomes.length === 0 ? 0 : failures / this.outcomes.length;
  }

  private refresh(now: number): void {
    if (this.currentState === EndpointState.ejected && now >= this.readmitAt) {
      this.warmUpEndsAt = now + warmUpMs;
      this.apply(EndpointEvent.readmit);
    }
    if (this.currentState === EndpointState.warming && now >= this.warmUpEndsAt) {
      this.apply(EndpointEvent.warmed);
    }
  }

  private apply(event: EndpointEvent): void {
    this.currentState = endpointChart.next(this.currentState, event);
  }
}
