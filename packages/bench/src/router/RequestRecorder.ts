import { LatencyHistogram } from '@apricothoist/common';

import type { Stream } from './RouterScenario.js';
import { capacityPerSecond, streams } from './RouterScenario.js';

/** Offered load, and how many times its share of the requests the first instance gets. */
export interface Condition {
  readonly load: number;
  readonly skew: number;
}

/** How one policy fared at one load. */
export interface RouterFigures {
  readonly policy: string;
  readonly load: number;
  readonly skew: number;
  /** Answers in time, relative to what all slots can run. */
  readonly goodput: number;
  /** Share of the offered requests that were answered in time. */
  readonly answeredShare: number;
  readonly urgentP50Ms: number;
  readonly urgentP99Ms: number;
  readonly urgentAnswered: number;
  /** Longest time in milliseconds to an answer of the lowest class. */
  readonly batchMaxMs: number;
  /** Sends that an endpoint refused, per answered request. */
  readonly extraSends: number;
  /** Refusals that the caller heard later than half of its deadline. */
  readonly lateRefusals: number;
  /** Share of the answers of each account. */
  readonly shares: Readonly<Record<string, number>>;
}

/** Time in milliseconds in which requests arrive. */
export const lengthMs = 6_000;
/** Requests that arrive before this time only fill the queues. */
const warmUpMs = 1_000;

/** Collects how the requests of one run ended. */
export class RequestRecorder {
  private offered = 0;

  private answered = 0;

  private goodAnswers = 0;

  private lateRefusals = 0;

  private readonly byAccount = new Map<string, number>();

  private readonly urgent = new LatencyHistogram();

  private readonly batch = new LatencyHistogram();

  private urgentOffered = 0;

  public constructor(private readonly condition: Condition) {}

  /** Times in milliseconds from the start of the run. */
  public add(stream: Stream, arrivedAt: number, endedAt: number, isAnswered: boolean): void {
    const elapsedMs = endedAt - arrivedAt;
    const isInTime = isAnswered && elapsedMs <= stream.deadlineMs;
    if (isInTime && endedAt >= warmUpMs && endedAt < lengthMs) {
      this.goodAnswers += 1;
    }
    if (arrivedAt < warmUpMs) {
      return;
    }
    this.offered += 1;
    this.urgentOffered += stream.urgency === 'urgent' ? 1 : 0;
    if (!isAnswered) {
      this.lateRefusals += elapsedMs > stream.deadlineMs / 2 ? 1 : 0;
      return;
    }
    if (!isInTime) {
      return;
    }
    this.answered += 1;
    this.byAccount.set(stream.account, (this.byAccount.get(stream.account) ?? 0) + 1);
    if (stream.urgency === 'urgent') {
      this.urgent.record(elapsedMs);
    }
    if (stream.urgency === 'batch') {
      this.batch.record(elapsedMs);
    }
  }

  public figures(policy: string, refusals: number): RouterFigures {
    return {
      policy,
      ...this.condition,
      goodput: this.goodAnswers / ((capacityPerSecond * (lengthMs - warmUpMs)) / 1_000),
      answeredShare: this.answered / this.offered,
      urgentP50Ms: this.urgent.percentile(50),
      urgentP99Ms: this.urgent.percentile(99),
      urgentAnswered: this.urgent.count / this.urgentOffered,
      batchMaxMs: this.batch.max,
      extraSends: refusals / Math.max(1, this.answered),
      lateRefusals: this.lateRefusals,
      shares: Object.fromEntries(
        streams.map(({ account }) => [
          account,
          (this.byAccount.get(account) ?? 0) / Math.max(1, this.answered),
        ]),
      ),
    };
  }
}
