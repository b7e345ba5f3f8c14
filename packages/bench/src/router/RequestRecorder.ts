import { LatencyHistogram } from '@apricothoist/common';

import type { RequestStream } from './RouterScenario.js';
import { capacityPerSecond, streams } from './RouterScenario.js';

/** Conditions of one run. */
export interface LoadCondition {
  /** Offered requests relative to the capacity of all slots. */
  readonly load: number;
  /** Requests that the first instance receives, as a multiple of those of any other instance. */
  readonly skew: number;
}

/** Results of one policy under one load condition. */
export interface RouterResult {
  readonly policy: string;
  readonly load: number;
  readonly skew: number;
  /** Responses within the deadline, relative to the capacity of all slots. */
  readonly goodput: number;
  /** Fraction of the offered requests that were answered within their deadline. */
  readonly answeredShare: number;
  readonly urgentP50Ms: number;
  readonly urgentP99Ms: number;
  readonly urgentAnswered: number;
  /** Longest response time in milliseconds of the batch class. */
  readonly batchMaxMs: number;
  /** Attempts that an endpoint refused, per answered request. */
  readonly extraSends: number;
  /** Refusals that the caller received after more than half of its deadline. */
  readonly lateRefusals: number;
  /** Fraction of the answered requests, by account. */
  readonly shares: Readonly<Record<string, number>>;
}

/** Length in milliseconds of the period in which requests arrive. */
export const arrivalPeriodMs = 6_000;
/** Warm-up time in milliseconds; requests that arrive earlier only fill the queues. */
const warmUpMs = 1_000;

/** Collects the outcomes of the requests of one run. */
export class RequestRecorder {
  private offeredCount = 0;

  private answeredCount = 0;

  private inTimeResponses = 0;

  private lateRefusalCount = 0;

  private readonly answeredByAccount = new Map<string, number>();

  private readonly urgentLatency = new LatencyHistogram();

  private readonly batchLatency = new LatencyHistogram();

  private urgentOfferedCount = 0;

  public constructor(private readonly condition: LoadCondition) {}

  /** Records the end of a request; times are milliseconds from the start of the run. */
  public record(
    stream: RequestStream,
    arrivedAt: number,
    endedAt: number,
    isAnswered: boolean,
  ): void {
    const elapsedMs = endedAt - arrivedAt;
    const isInTime = isAnswered && elapsedMs <= stream.deadlineMs;
    if (isInTime && endedAt >= warmUpMs && endedAt < arrivalPeriodMs) {
      this.inTimeResponses += 1;
    }
    if (arrivedAt < warmUpMs) {
      return;
    }
    this.offeredCount += 1;
    this.urgentOfferedCount += stream.urgency === 'urgent' ? 1 : 0;
    if (!isAnswered) {
      this.lateRefusalCount += elapsedMs > stream.deadlineMs / 2 ? 1 : 0;
      return;
    }
    if (!isInTime) {
      return;
    }
    this.answeredCount += 1;
    this.answeredByAccount.set(
      stream.account,
      (this.answeredByAccount.get(stream.account) ?? 0) + 1,
    );
    if (stream.urgency === 'urgent') {
      this.urgentLatency.record(elapsedMs);
    }
    if (stream.urgency === 'batch') {
      this.batchLatency.record(elapsedMs);
    }
  }

  public createResult(policy: string, refusals: number): RouterResult {
    return {
      policy,
      ...this.condition,
      goodput: this.inTimeResponses / ((capacityPerSecond * (arrivalPeriodMs - warmUpMs)) / 1_000),
      answeredShare: this.answeredCount / this.offeredCount,
      urgentP50Ms: this.urgentLatency.percentile(50),
      urgentP99Ms: this.urgentLatency.percentile(99),
      urgentAnswered: this.urgentLatency.count / this.urgentOfferedCount,
      batchMaxMs: this.batchLatency.max,
      extraSends: refusals / Math.max(1, this.answeredCount),
      lateRefusals: this.lateRefusalCount,
      shares: Object.fromEntries(
        streams.map(({ account }) => [
          account,
          (this.answeredByAccount.get(account) ?? 0) / Math.max(1, this.answeredCount),
        ]),
      ),
    };
  }
}
