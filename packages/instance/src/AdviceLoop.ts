import type { Clock, LoopErrorHandler, Random } from '@apricothoist/common';
import { delay, SupervisedLoop } from '@apricothoist/common';
import type {
  AdviceAnswer,
  AdviceExchange,
  AdviceQuestion,
  RunCounters,
} from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import type { AdviceClient, AdviceError } from './AdviceClient.js';
import { AdviceErrorKind } from './AdviceClient.js';
import { JobEvents } from './events.js';

/**
 * Milliseconds and share of the expected time that an answer may take beyond it: for the link, and
 * for a former call that timed out here and that the service still handles.
 */
const answerSlackMs = 300;
const answerSlackShare = 0.5;
/** First and longest back-off in milliseconds; the slack of urgent work is about 1.3 s. */
const firstRetryMs = 100;
const maxRetryMs = 1_500;
const retryJitter = 0.3;
/**
 * Milliseconds for which a step waits whose question was not answered properly, so that it does not
 * hold up others.
 */
const postponeMs = 1_000;
/** Milliseconds between two searches for a question while there is none. */
const searchIntervalMs = 20;

/** Failures that may be due to the question itself. */
const questionFailures = new Set<AdviceErrorKind>([
  AdviceErrorKind.refused,
  AdviceErrorKind.invalid,
]);

/** Dependencies of `AdviceLoop`. */
export interface AdviceLoopServices {
  /** Undefined if the settings name no service. */
  readonly advice?: AdviceClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: RunCounters;
}

/** Interface of the scheduling instance for its advice loop. */
export interface AdviceLoopOwner {
  /** Fencing token while this instance may send commands, undefined otherwise. */
  readonly token: number | undefined;
  /** Requests a scheduling step. */
  wake(): void;
}

/**
 * Asks the advice service on behalf of one term of the holder, one call at a time as long as a
 * waiting step needs permits. The answers of a term end with it.
 */
export class AdviceLoop implements Disposable {
  private isStopped = false;

  private resumeLoop: (() => void) | undefined;

  private retryMs = firstRetryMs;

  private isFailing = false;

  private readonly loop = new SupervisedLoop('advice', () => this.advise());

  public constructor(
    private readonly advice: AdviceExchange,
    private readonly services: AdviceLoopServices,
    private readonly owner: AdviceLoopOwner,
  ) {}

  public start(onError: LoopErrorHandler): void {
    this.loop.start(onError);
  }

  /** Looks for a question again, after a scheduling step. */
  public wake(): void {
    if (this.advice.isUsed) {
      this.resumeLoop?.();
    }
  }

  private async advise(): Promise<void> {
    const { advice: client } = this.services;
    const now = this.services.clock.monotonic();
    const question = this.owner.token === undefined ? undefined : this.advice.chooseQuestion(now);
    if (question === undefined) {
      await this.waitForWake();
      await delay(Math.max(0, now + searchIntervalMs - this.services.clock.monotonic()));
    } else if (client === undefined) {
      this.recordFailure(question, 'the settings name no advice service');
      await delay(maxRetryMs);
    } else {
      await this.ask(client, question);
    }
  }

  private async waitForWake(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.resumeLoop = resolve;
    });
    this.resumeLoop = undefined;
  }

  private async ask(client: AdviceClient, question: AdviceQuestion): Promise<void> {
    const sentAt = this.services.clock.monotonic();
    const { expectedMs } = question;
    this.services.counters.adviceCalls += 1;
    const deadline = sentAt + expectedMs * (1 + answerSlackShare) + answerSlackMs;
    const answer = await client.advise(question, deadline);
    if (this.isStopped) {
      return;
    }
    if (answer.isErr()) {
      await this.backOff(question, answer.error);
      return;
    }
    // The permits were made when the service answered, however long the answer has travelled.
    const answeredAt = Math.min(this.services.clock.monotonic(), sentAt + expectedMs);
    const foreignIds = this.advice.record(question, answer.value, answeredAt);
    this.logAnswer(question, answer.value, sentAt);
    this.owner.wake();
    if (foreignIds.length > 0) {
      const message = `runners that were not named: ${foreignIds.slice(0, 3).join(', ')}`;
      await this.backOff(question, { kind: AdviceErrorKind.invalid, message });
      return;
    }
    this.retryMs = firstRetryMs;
    if (this.isFailing) {
      this.isFailing = false;
      this.services.log.emit(JobEvents.adviceAvailable);
    }
  }

  private logAnswer({ step, runners }: AdviceQuestion, answer: AdviceAnswer, sentAt: number): void {
    this.services.log.emit(JobEvents.adviceReceived, {
      step,
      asked: runners.length,
      good: answer.good.length,
      validityMs: answer.validityMs,
      tookMs: Math.round(this.services.clock.monotonic() - sentAt),
    });
  }

  private async backOff(
    question: AdviceQuestion,
    { kind, message }: Pick<AdviceError, 'kind' | 'message'>,
  ): Promise<void> {
    this.services.counters.failedAdviceCalls += 1;
    this.recordFailure(question, message, kind);
    await delay(this.services.random.jitter(this.retryMs, retryJitter));
    this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
  }

  private recordFailure(question: AdviceQuestion, message: string, kind?: AdviceErrorKind): void {
    const isPostponed = kind !== undefined && questionFailures.has(kind);
    const postponedUntil = isPostponed ? this.services.clock.monotonic() + postponeMs : undefined;
    this.advice.recordFailure(question, postponedUntil);
    this.owner.wake();
    if (!this.isFailing) {
      this.isFailing = true;
      this.services.log.emit(JobEvents.adviceUnavailable, { kind, message, step: question.step });
    }
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
    this.loop[Symbol.dispose]();
    this.resumeLoop?.();
  }
}
