import type { Clock } from '@apricothoist/common';
import { pack } from 'msgpackr';

import { decodeForwardedResult } from './feedMessages.js';
import type { FeedAnswer, ForwardedRequest, ForwardedResult } from './FeedRequest.js';
import { maxLeftMs, maxRequestBytes, minRequestVersions } from './FeedRequest.js';
import type { HolderReport } from './StoreReachability.js';

export const ForwardOutcome = {
  answered: 'answered',
  /** The scheduling instance did nothing for the request, or never got it. */
  notTaken: 'notTaken',
  /** No answer: the request may have taken effect, or may still do so. */
  lost: 'lost',
} as const;
export type ForwardOutcome = (typeof ForwardOutcome)[keyof typeof ForwardOutcome];

export type Forwarding =
  | { readonly outcome: typeof ForwardOutcome.answered; readonly result: ForwardedResult }
  | { readonly outcome: typeof ForwardOutcome.notTaken; readonly reason: string }
  | { readonly outcome: typeof ForwardOutcome.lost; readonly reason: string };

/** Access of an instance to the scheduling instance. */
export interface RequestForwarder {
  /** Whether the scheduling instance is connected, reaches the store and takes requests. */
  readonly isAvailable: boolean;
  /** Report of the scheduling instance; undefined if its feed is not connected. */
  readonly report: HolderReport | undefined;
  /** @param deadline monotonic milliseconds */
  forward(body: ForwardedRequest, deadline: number): Promise<Forwarding>;
}

/** Connection over which requests are sent; false if it cannot take a frame. */
type Send = (frame: Buffer) => boolean;

/**
 * Requests in progress and their bytes: some seconds of submissions of one instance, and a small
 * part of its memory.
 */
const maxOpenRequests = 128;
const maxOpenBytes = 8_000_000;

interface OpenRequest {
  readonly settle: (forwarding: Forwarding) => void;
}

/** Requests of this instance to the scheduling instance over the feed connection. */
export class HolderRequests implements RequestForwarder {
  private readonly openRequests = new Map<number, OpenRequest>();

  private openBytes = 0;

  private lastNumber = 0;

  private send: Send | undefined;

  private lastReport: (HolderReport & { readonly requestVersion: number }) | undefined;

  /** Requests by outcome since the process started. */
  public readonly counts: Record<ForwardOutcome, number> = { answered: 0, notTaken: 0, lost: 0 };

  public constructor(
    private readonly clock: Clock,
    private readonly onForwarded: (
      body: ForwardedRequest,
      forwarding: Forwarding,
      tookMs: number,
    ) => void = () => {},
  ) {}

  public get report(): HolderReport | undefined {
    return this.send === undefined ? undefined : this.lastReport;
  }

  public get isAvailable(): boolean {
    const { report } = this;
    return report?.isStoreReachable === true && this.holderVersion >= minRequestVersions.submit;
  }

  /** Version of the requests that the scheduling instance answers; 0 if it is not known. */
  private get holderVersion(): number {
    return this.lastReport?.requestVersion ?? 0;
  }

  public recordReport(isStoreReachable: boolean, requestVersion: number): void {
    const receivedAt = this.clock.monotonic();
    this.lastReport = { isStoreReachable, requestVersion, receivedAt };
  }

  public connect(send: Send): void {
    this.send = send;
    this.lastReport = undefined;
  }

  /** Requests that were sent and not answered may have taken effect. */
  public disconnect(reason: string): void {
    this.send = undefined;
    this.lastReport = undefined;
    [...this.openRequests.values()].forEach(({ settle }) =>
      settle({ outcome: ForwardOutcome.lost, reason }),
    );
  }

  public async forward(body: ForwardedRequest, deadline: number): Promise<Forwarding> {
    const startedAt = this.clock.monotonic();
    const forwarding = await this.exchange(body, deadline);
    this.counts[forwarding.outcome] += 1;
    this.onForwarded(body, forwarding, this.clock.monotonic() - startedAt);
    return forwarding;
  }

  /** Answers to requests that are no longer open are ignored. */
  public receive({ answerTo, result, rejection }: FeedAnswer): void {
    this.openRequests.get(answerTo)?.settle(
      result === undefined
        ? { outcome: ForwardOutcome.notTaken, reason: String(rejection ?? 'rejected') }
        : decodeForwardedResult(result).match<Forwarding>(
            (decoded) => ({ outcome: ForwardOutcome.answered, result: decoded }),
            ({ message }) => ({ outcome: ForwardOutcome.lost, reason: `unreadable: ${message}` }),
          ),
    );
  }

  private exchange(body: ForwardedRequest, deadline: number): Promise<Forwarding> {
    const leftMs = Math.min(maxLeftMs, deadline - this.clock.monotonic());
    const notTaken = (reason: string): Promise<Forwarding> =>
      Promise.resolve({ outcome: ForwardOutcome.notTaken, reason });
    if (this.send === undefined || !this.isAvailable || leftMs <= 0) {
      return notTaken('the scheduling instance takes no requests');
    }
    const requestVersion = minRequestVersions[body.operation];
    if (this.holderVersion < requestVersion) {
      return notTaken(`the scheduling instance is of an earlier version: ${this.holderVersion}`);
    }
    this.lastNumber += 1;
    const request = this.lastNumber;
    const frame = pack({ requestVersion, request, leftMs, body });
    const bytes = frame.length;
    if (bytes > maxRequestBytes) {
      return notTaken(`a request of ${bytes} bytes is not forwarded`);
    }
    if (this.openRequests.size >= maxOpenRequests || this.openBytes + bytes > maxOpenBytes) {
      return notTaken('too many forwarded requests are in progress');
    }
    return new Promise((resolve) => {
      const settle = (forwarding: Forwarding): void => {
        clearTimeout(timer);
        this.openRequests.delete(request);
        this.openBytes -= bytes;
        resolve(forwarding);
      };
      const timer = setTimeout(() => settle(unanswered), leftMs);
      this.openBytes += bytes;
      this.openRequests.set(request, { settle });
      if (this.send?.(frame) !== true) {
        const reason = 'the connection to the scheduling instance is closing';
        settle({ outcome: ForwardOutcome.notTaken, reason });
      }
    });
  }
}

const unanswered: Forwarding = {
  outcome: ForwardOutcome.lost,
  reason: 'the scheduling instance did not answer before the deadline',
};
