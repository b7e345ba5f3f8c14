import { delay } from '@apricothoist/common';
import type { AnswerContent } from '@apricothoist/daemon/core';
import type { RouteResult } from '@apricothoist/router';
import { AttemptOutcome, RefusalReason } from '@apricothoist/router';

import type { VirtualWorld, WorldInstance } from './VirtualWorld.js';

/** What a caller sent and heard. */
export interface CallerRecord {
  readonly requestId: string;
  readonly isIdempotent: boolean;
  /** Requests with one key are the same request, repeated. */
  readonly key: string | undefined;
  readonly account: string;
  readonly instance: WorldInstance;
  /** Whether the instance was stopping as planned when the request was sent. */
  readonly wasLeaving: boolean;
  result: RouteResult<AnswerContent> | undefined;
}

/** What the caller's listener answers before the first configuration. */
const notReady: RouteResult<AnswerContent> = {
  outcome: AttemptOutcome.notRun,
  reason: RefusalReason.notReady,
  retryAfterMs: 1_000,
};
const intervalMs = 40;
const timeoutMs = 3_000;

/** Sends requests through the live instances in turn and keeps what it hears. */
export class VirtualCaller {
  public readonly records: CallerRecord[] = [];

  private isRunning = false;

  public constructor(private readonly world: VirtualWorld) {}

  /** Sends requests at a steady rate until `stop`. */
  public start(): void {
    this.isRunning = true;
    this.loop().catch((error: unknown) => this.world.errors.push(error));
  }

  public stop(): void {
    this.isRunning = false;
  }

  /** Sends one request to an instance. */
  public async send(instance: WorldInstance, key?: string, sender?: string): Promise<void> {
    const number = this.records.length;
    const isIdempotent = number % 2 === 0 && key === undefined;
    const requestId = key ?? `request-${number}`;
    const account = sender ?? (number % 3 === 0 ? 'guaranteed' : 'borrowing');
    const record: CallerRecord = {
      requestId,
      isIdempotent,
      key: isIdempotent ? undefined : requestId,
      account,
      instance,
      wasLeaving: instance.isLeaving,
      result: undefined,
    };
    this.records.push(record);
    const now = this.world.clock.monotonic();
    const ticket = {
      id: `ticket-${number}`,
      account,
      service: 'service',
      urgency: number % 5 === 0 ? ('urgent' as const) : ('normal' as const),
      isIdempotent,
      key: record.key,
      arrivedAt: now,
      deadline: now + timeoutMs,
      isForwarded: false,
    };
    const content = {
      method: 'POST',
      path: '/',
      headers: { 'x-request': requestId },
      body: new Uint8Array(),
    };
    const router = instance.core.routers.get('service')?.router;
    record.result = await (router?.route(ticket, content) ?? notReady);
  }

  private async loop(): Promise<void> {
    for (let turn = 0; this.isRunning; turn += 1) {
      // The balancer notices a stopping instance only after a while.
      const targets = this.world.instances.filter((instance) => instance.isAlive);
      const instance = targets[turn % targets.length];
      if (instance !== undefined) {
        this.send(instance).catch((error: unknown) => this.world.errors.push(error));
        this.repeatNow(turn, targets);
      }
      await delay(intervalMs);
    }
  }

  // Now and then a caller repeats a request under its key at another instance at the same time.
  private repeatNow(turn: number, targets: readonly WorldInstance[]): void {
    const last = this.records.at(-1);
    const other = targets[(turn + 1) % targets.length];
    if (turn % 5 === 1 && last?.key !== undefined && other !== undefined) {
      this.send(other, last.key, last.account).catch((error: unknown) =>
        this.world.errors.push(error),
      );
    }
  }
}
