import type { Clock, Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { Dispatcher, Runner } from '@apricothoist/dispatch';

import type { RunnerClient } from './RunnerClient.js';
import { RunnerErrorKind } from './RunnerClient.js';

/** Milliseconds that a busy runner may wait for an end before it reports. */
const waitMs = 1_000;
/**
 * Longest pause in milliseconds for ends to be stored before the runner is called again; until they
 * are acknowledged it answers at once, and lists them again.
 */
const storeWaitMs = 500;
/** Milliseconds beyond the wait for the answer itself. */
const answerMs = 600;
/** First and longest pause in milliseconds after an unanswered call, within a lease of seconds. */
const firstRetryMs = 100;
const maxRetryMs = 1_000;
/** Share by which a pause varies, so that runners are not called in step. */
const retrySpread = 0.3;

/** What a link needs of the scheduling instance. */
export interface LinkOwner {
  /** Token while this instance may order, undefined otherwise. */
  readonly token: number | undefined;
  /** Last end of the runner that is stored. */
  storedEnd(runnerId: string): number;
  /** Something changed that may lead to new orders. */
  wake(): void;
  /** The runner follows a successor. */
  yieldToSuccessor(runnerId: string): void;
  reportUnanswered(runnerId: string, message: string): void;
}

/**
 * Keeps the leases on one runner and hears of its ends, by one waiting call after another while
 * something runs there. An idle runner is not called.
 */
export class RunnerLink implements Disposable {
  private isStopped = false;

  private acknowledgedEnd = 0;

  private bornAt = 0;

  private resume: (() => void) | undefined;

  private retryMs = firstRetryMs;

  public constructor(
    private readonly runner: Runner,
    private readonly client: RunnerClient,
    private readonly dispatcher: Dispatcher,
    private readonly owner: LinkOwner,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public start(onError: (error: unknown) => void): void {
    this.run().catch(onError);
  }

  /** Looks again whether the runner has to be called. */
  public wake(): void {
    if (this.isNeeded && !this.hasUnstoredEnds) {
      this.resume?.();
    }
  }

  private get isNeeded(): boolean {
    const { runner } = this;
    const hasUnacknowledged = this.owner.storedEnd(runner.id) > this.acknowledgedEnd;
    return (
      runner.isListed &&
      (runner.occupants.size > 0 || !runner.isFenced || runner.silentCalls > 0 || hasUnacknowledged)
    );
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      if (!this.isNeeded) {
        await this.rest();
      } else if (this.hasUnstoredEnds) {
        await this.rest(storeWaitMs);
        await this.call();
      } else {
        await this.call();
      }
    }
  }

  private get hasUnstoredEnds(): boolean {
    return this.runner.processedEnd > this.owner.storedEnd(this.runner.id);
  }

  // Until it is woken, or for `longestMs`.
  private async rest(longestMs?: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = longestMs === undefined ? undefined : setTimeout(resolve, longestMs);
      this.resume = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.resume = undefined;
  }

  private async call(): Promise<void> {
    const { token } = this.owner;
    if (token === undefined) {
      await delay(firstRetryMs);
      return;
    }
    const { runner } = this;
    if (runner.listed.bornAt !== this.bornAt) {
      this.bornAt = runner.listed.bornAt;
      this.acknowledgedEnd = 0;
    }
    const isBusy = runner.occupants.size > 0 && runner.isFenced;
    const acknowledgedEnd = this.owner.storedEnd(runner.id);
    const extendsLease = runner.occupants.size > 0 && runner.silentCalls === 0 && runner.isFenced;
    const askedAt = this.clock.monotonic();
    if (extendsLease) {
      this.dispatcher.noteLease(runner.id, askedAt);
    }
    const request = { token, acknowledgedEnd, extendsLease, waitMs: isBusy ? waitMs : 0 };
    const deadline = askedAt + request.waitMs + answerMs;
    const report = await this.client.report(runner.listed, request, deadline);
    if (this.isStopped) {
      return;
    }
    if (report.isOk()) {
      this.retryMs = firstRetryMs;
      this.acknowledgedEnd = Math.max(this.acknowledgedEnd, acknowledgedEnd);
      this.dispatcher.readReport(runner.id, report.value, this.clock.monotonic());
      this.owner.wake();
      return;
    }
    if (report.error.kind === RunnerErrorKind.fenced) {
      this.owner.yieldToSuccessor(runner.id);
      return;
    }
    if (runner.silentCalls === 0) {
      this.owner.reportUnanswered(runner.id, report.error.message);
    }
    this.dispatcher.noteSilence(runner.id);
    this.owner.wake();
    await delay(this.random.jitter(this.retryMs, retrySpread));
    this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
    this.resume?.();
  }
}
