import { delay } from '@apricothoist/common';
import type { ResponseContent } from '@apricothoist/daemon/core';
import type { RouteResult } from '@apricothoist/router';
import { AttemptOutcome, RefusalReason } from '@apricothoist/router';

import type { VirtualSimulation, SimulatedInstance } from './VirtualSimulation.js';

/** A request that the caller sent, and its result. */
export interface RequestRecord {
  readonly requestId: string;
  readonly isIdempotent: boolean;
  /** Idempotency key. Requests with the same key are repetitions of one request. */
  readonly key: string | undefined;
  readonly account: string;
  readonly instance: SimulatedInstance;
  /** Whether the instance was shutting down when the request was sent. */
  readonly wasLeaving: boolean;
  result: RouteResult<ResponseContent> | undefined;
}

/** Result that the daemon's caller listener gives before the first configuration. */
const notReadyResult: RouteResult<ResponseContent> = {
  outcome: AttemptOutcome.notRun,
  reason: RefusalReason.notReady,
  retryAfterMs: 1_000,
};
const sendIntervalMs = 40;
const requestTimeoutMs = 3_000;

/** Sends requests to the live instances in rotation and records the results. */
export class VirtualCaller {
  public readonly records: RequestRecord[] = [];

  private isRunning = false;

  public constructor(private readonly simulation: VirtualSimulation) {}

  /** Sends requests at a constant rate until `stop` is called. */
  public start(): void {
    this.isRunning = true;
    this.sendContinuously().catch((error: unknown) => this.simulation.errors.push(error));
  }

  public stop(): void {
    this.isRunning = false;
  }

  /** Sends one request to an instance. */
  public async send(
    instance: SimulatedInstance,
    key?: string,
    accountOverride?: string,
  ): Promise<void> {
    const number = this.records.length;
    const isIdempotent = number % 2 === 0 && key === undefined;
    const requestId = key ?? `request-${number}`;
    const account = accountOverride ?? (number % 3 === 0 ? 'guaranteed' : 'borrowing');
    const record: RequestRecord = {
      requestId,
      isIdempotent,
      key: isIdempotent ? undefined : requestId,
      account,
      instance,
      wasLeaving: instance.isLeaving,
      result: undefined,
    };
    this.records.push(record);
    const now = this.simulation.clock.monotonic();
    const descriptor = {
      id: `ticket-${number}`,
      account,
      service: 'service',
      urgency: number % 5 === 0 ? ('urgent' as const) : ('normal' as const),
      isIdempotent,
      key: record.key,
      arrivedAt: now,
      deadline: now + requestTimeoutMs,
      isForwarded: false,
    };
    const content = {
      method: 'POST',
      path: '/',
      headers: { 'x-request': requestId },
      body: new Uint8Array(),
    };
    const router = instance.core.routers.get('service')?.router;
    record.result = await (router?.route(descriptor, content) ?? notReadyResult);
  }

  private async sendContinuously(): Promise<void> {
    for (let round = 0; this.isRunning; round += 1) {
      // Includes stopping instances: a load balancer detects a shutdown only after a delay.
      const targets = this.simulation.instances.filter((instance) => instance.isAlive);
      const instance = targets[round % targets.length];
      if (instance !== undefined) {
        this.send(instance).catch((error: unknown) => this.simulation.errors.push(error));
        this.repeatLastRequest(round, targets);
      }
      await delay(sendIntervalMs);
    }
  }

  // Every fifth round, repeats a request with a key at another instance while the first one is open.
  private repeatLastRequest(round: number, targets: readonly SimulatedInstance[]): void {
    const lastRecord = this.records.at(-1);
    const other = targets[(round + 1) % targets.length];
    if (round % 5 === 1 && lastRecord?.key !== undefined && other !== undefined) {
      this.send(other, lastRecord.key, lastRecord.account).catch((error: unknown) =>
        this.simulation.errors.push(error),
      );
    }
  }
}
