import type { Clock, Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type {
  Dispatcher,
  ListedRunner,
  Runner,
  RunnerReport,
  StartCommand,
  StartOutcome,
} from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { RunnerClient, RunnerError } from './RunnerClient.js';
import { RunnerErrorKind } from './RunnerClient.js';

/**
 * Milliseconds that a busy runner may wait for the end of a run before it responds to a report
 * call.
 */
const reportWaitMs = 1_000;
/**
 * Longest wait in milliseconds for ended runs to be stored before the runner is called again. Until
 * they are acknowledged, the runner responds immediately and lists them again.
 */
const maxStoreWaitMs = 500;
/** Milliseconds between calls while a runner lists ends of jobs that cannot be read. */
const heldEndsRetryMs = 500;
/** Timeout of the response in milliseconds, in addition to the wait. */
const responseTimeoutMs = 600;
/**
 * Milliseconds for which a report proves which incarnation of the runner responds. While a call is
 * open it is proven as well, because the call fails with the process.
 */
const confirmationMs = 250;
/** First and longest back-off in milliseconds after an unanswered call; the lease lasts seconds. */
const firstRetryMs = 100;
const maxRetryMs = 1_000;
/** Relative jitter of the back-off, so that calls of different runners are not synchronised. */
const retryJitter = 0.3;

/** Interface of the scheduling instance for its runner links. */
export interface RunnerLinkOwner {
  /** Fencing token while this instance may send commands, undefined otherwise. */
  readonly token: number | undefined;
  /** Number of the last ended run of the runner that is stored. */
  lastStoredEnd(runnerId: string): number;
  /** Requests a scheduling step after a change that may produce new commands. */
  wake(): void;
  /** Ends the term: the runner has seen the token of a newer holder. */
  yieldToSuccessor(runnerId: string): void;
  reportUnansweredCall(runnerId: string, message: string): void;
  /** Resolves to whether a report confirms the present incarnation of the runner. */
  confirmRunner(runnerId: string): Promise<boolean>;
  /** Reports the outcomes of all calls of a start command of which one got no answer. */
  reportUnsettledStart(command: StartCommand, outcomes: readonly StartOutcome[]): void;
}

/**
 * Renews the leases on one runner and receives its ended runs by successive long-poll calls while
 * something runs there. An idle runner is not called.
 */
export class RunnerLink implements Disposable {
  private isStopped = false;

  private acknowledgedEnd = 0;

  private processStartedAt = 0;

  private resumeLoop: (() => void) | undefined;

  private retryMs = firstRetryMs;

  /** Whether a call is open that was sent to a confirmed incarnation. */
  private isConfirmedCallOpen = false;

  /** Whether the last call could extend leases, so that the next one can wait for the store. */
  private wasLastCallConfirmed = false;

  private confirmationWaiters: (() => void)[] = [];

  public constructor(
    private readonly runner: Runner,
    private readonly client: RunnerClient,
    private readonly dispatcher: Dispatcher,
    private readonly owner: RunnerLinkOwner,
    private readonly clock: Clock,
    private readonly steadyClock: Clock,
    private readonly random: Random,
  ) {}

  /** @param onError receives what ends a single call; the link goes on after a back-off */
  public start(onError: (error: unknown) => void): void {
    this.run(onError).catch(onError);
  }

  /** Checks again whether the runner has to be called. */
  public wake(): void {
    if (!this.runner.isListed) {
      this.endConfirmation();
    }
    if (this.needsCall && !this.hasUnstoredEnds) {
      this.resumeLoop?.();
    }
  }

  /** Whether this link serves the runner; a runner that is listed anew needs a new link. */
  public serves(runner: Runner): boolean {
    return runner === this.runner;
  }

  /**
   * Resolves to whether the incarnation of the runner is confirmed; calls the runner first if it is
   * not.
   */
  public async confirm(): Promise<boolean> {
    if (!this.isConfirmed && !this.isStopped && this.runner.isListed) {
      await new Promise<void>((resolve) => {
        this.confirmationWaiters.push(resolve);
        this.wake();
      });
    }
    return this.isConfirmed && !this.isStopped && this.runner.isListed;
  }

  private get isConfirmed(): boolean {
    const { isFenced, unansweredCalls, reportedAt } = this.runner;
    const isRecent = this.clock.monotonic() - reportedAt < confirmationMs;
    return isFenced && unansweredCalls === 0 && (this.isConfirmedCallOpen || isRecent);
  }

  private endConfirmation(): void {
    const waiters = this.confirmationWaiters;
    this.confirmationWaiters = [];
    waiters.forEach((resolve) => resolve());
  }

  private get needsCall(): boolean {
    const { runner } = this;
    return (
      runner.isListed &&
      (runner.occupants.size > 0 ||
        runner.strays.size > 0 ||
        !runner.isFenced ||
        runner.isReportDue ||
        runner.unansweredCalls > 0 ||
        this.unacknowledgedEnd > 0)
    );
  }

  // Number of the last end that is stored and not yet acknowledged to this incarnation; 0 if none.
  private get unacknowledgedEnd(): number {
    const { runner } = this;
    const isKnown = runner.listed.processStartedAt === this.processStartedAt;
    const stored = this.owner.lastStoredEnd(runner.id);
    return stored > (isKnown ? this.acknowledgedEnd : 0) ? stored : 0;
  }

  // A link that ended would leave its runner without leases, and its ends unheard.
  private async run(onError: (error: unknown) => void): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.runOnce();
      } catch (error) {
        onError(error);
        await this.backOffAfterError();
      }
    }
  }

  private async runOnce(): Promise<void> {
    if (!this.needsCall) {
      await this.waitForWake();
      return;
    }
    // Until they are acknowledged, the runner responds at once.
    if (this.hasUnstoredEnds && this.wasLastCallConfirmed) {
      await this.waitForWake(maxStoreWaitMs);
    } else if (this.runner.hasHeldEnds && this.wasLastCallConfirmed) {
      await delay(heldEndsRetryMs);
    }
    await this.requestReport();
  }

  private async backOffAfterError(): Promise<void> {
    this.isConfirmedCallOpen = false;
    this.dispatcher.recordUnansweredCall(this.runner.id, this.clock.monotonic());
    this.endConfirmation();
    await this.backOff();
  }

  private async backOff(): Promise<void> {
    await delay(this.random.jitter(this.retryMs, retryJitter));
    this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
  }

  private get hasUnstoredEnds(): boolean {
    return this.runner.processedEndNumber > this.owner.lastStoredEnd(this.runner.id);
  }

  // Waits for `wake`, or at most `longestMs`.
  private async waitForWake(longestMs?: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = longestMs === undefined ? undefined : setTimeout(resolve, longestMs);
      this.resumeLoop = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.resumeLoop = undefined;
  }

  private async requestReport(): Promise<void> {
    // Read first: if this instance is suspended now, the lease still ends as if it had been sent.
    const steadyNow = this.steadyClock.monotonic();
    const { token } = this.owner;
    if (token === undefined) {
      this.endConfirmation();
      await delay(firstRetryMs);
      return;
    }
    const { runner } = this;
    if (runner.listed.processStartedAt !== this.processStartedAt) {
      this.processStartedAt = runner.listed.processStartedAt;
      this.acknowledgedEnd = 0;
    }
    // Another incarnation numbers its ends anew, and its clock has another origin.
    const { isConfirmed } = this;
    const acknowledgedEnd = isConfirmed ? this.unacknowledgedEnd : 0;
    const leaseUntil =
      isConfirmed && runner.occupants.size > 0
        ? this.dispatcher.grantLease(runner.id, steadyNow)
        : undefined;
    const isBusy = isConfirmed && runner.occupants.size + runner.strays.size > 0;
    const request = {
      token,
      acknowledgedEnd,
      waitMs: isBusy ? reportWaitMs : 0,
      ...(leaseUntil === undefined ? {} : { leaseUntil }),
    };
    const deadline = this.clock.monotonic() + request.waitMs + responseTimeoutMs;
    this.isConfirmedCallOpen = isConfirmed;
    this.wasLastCallConfirmed = isConfirmed;
    const target = this.chooseTarget();
    const report = await this.client.report(target, request, deadline);
    this.isConfirmedCallOpen = false;
    if (this.isStopped) {
      return;
    }
    if (this.applyReport(report, target)) {
      this.retryMs = firstRetryMs;
      this.acknowledgedEnd = Math.max(this.acknowledgedEnd, acknowledgedEnd);
      this.endConfirmation();
      this.owner.wake();
      return;
    }
    this.endConfirmation();
    this.owner.wake();
    await this.backOff();
  }

  // A runner that does not answer may be found at the address of another entry, by turns. The call names
  // the runner, so nothing else responds to it.
  private chooseTarget(): ListedRunner {
    const { listed, identity, unansweredCalls } = this.runner;
    const isElsewhere = unansweredCalls % 2 === 1;
    return (isElsewhere ? identity.elsewhere(listed.address) : undefined) ?? listed;
  }

  // Returns false if the call counts as unanswered.
  private applyReport(report: Result<RunnerReport, RunnerError>, target: ListedRunner): boolean {
    const { runner, dispatcher, owner } = this;
    const { address } = target;
    const now = this.clock.monotonic();
    if (report.isOk() && dispatcher.applyReport(runner.id, { ...report.value, address }, now)) {
      return true;
    }
    // What refuses calls elsewhere need not be the runner.
    const isAtKnownAddress = address === runner.listed.address;
    const error = report.isErr() && isAtKnownAddress ? report.error : undefined;
    if (error?.kind === RunnerErrorKind.fenced) {
      owner.yieldToSuccessor(runner.id);
    } else if (runner.unansweredCalls === 0) {
      const message = report.isErr() ? report.error.message : 'report of an earlier incarnation';
      owner.reportUnansweredCall(runner.id, message);
    }
    dispatcher.recordUnansweredCall(runner.id, now);
    return false;
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
    this.resumeLoop?.();
    this.endConfirmation();
  }
}
