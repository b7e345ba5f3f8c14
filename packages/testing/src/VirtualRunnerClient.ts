import type { Clock } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { ListedRunner, RunnerReport, StartCommand, StopCommand } from '@apricothoist/dispatch';
import { StartOutcome } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { CallFate, VirtualCall } from './CallFate.js';
import { CallKind } from './CallFate.js';
import type { VirtualReport, VirtualRunner } from './VirtualRunner.js';
import type { VirtualRunnerPool } from './VirtualRunnerPool.js';

export type VirtualCallErrorKind = 'unanswered' | 'disconnected' | 'fenced' | 'refused';

export interface VirtualRunnerClientOptions<E> {
  /** Clock of the instance that calls. */
  readonly clock: Clock;
  /** Current virtual time in milliseconds. */
  readonly now: () => number;
  readonly maxLeaseMs: number;
  readonly decideFate: (call: VirtualCall) => CallFate;
  /** Whether calls to the runner are dropped now, and answers from it lost. */
  readonly isCut: (runnerId: string) => boolean;
  /** Whether connections to the runner are refused now; open ones are closed. */
  readonly isRefusing?: (runnerId: string) => boolean;
  /** Whether a late call is also executed by a process that started after it was sent. */
  readonly lateCallsOutliveProcess: boolean;
  /** Receives a line for each call that is sent and for each that is executed. */
  readonly trace?: (call: VirtualCall, text: string) => void;
  readonly createError: (kind: VirtualCallErrorKind, message: string) => E;
}

interface ReportRequest {
  readonly token: number;
  readonly acknowledgedEnd: number;
  readonly extendsLease: boolean;
  readonly waitMs: number;
}

interface ClockReading {
  readonly processStartedAt: number;
  readonly clock: number;
  readonly readAt: number;
}

/** Share of its clock that a runner may lose, by the platform's contract. */
const maxClockSlowness = 1.02;
/** Interval in milliseconds at which a waiting report looks for an end. */
const waitPollMs = 10;

/**
 * Client of the virtual runners of one instance, in virtual time: uses the global timers.
 *
 * Lease deadlines are computed from the last reading of the clock of the incarnation that the caller
 * knows, less the allowed drift. This is stricter than required: no deadline is beyond the longest
 * lease, except at a process that has started since, whose clock the caller does not know yet.
 *
 * The contract does not say whether a call in flight outlives the process that it was sent to;
 * `lateCallsOutliveProcess` chooses.
 */
export class VirtualRunnerClient<E> {
  private readonly clockReadings = new Map<string, ClockReading>();

  public constructor(
    private readonly pool: VirtualRunnerPool,
    private readonly options: VirtualRunnerClientOptions<E>,
  ) {}

  public async start(
    runner: ListedRunner,
    command: StartCommand,
    token: number,
    deadline: number,
  ): Promise<StartOutcome> {
    const leaseDeadline = this.leaseDeadline(runner);
    const { task, run } = command;
    const answer = await this.call(
      runner,
      { kind: CallKind.start, runnerId: runner.id, sentAt: this.options.now(), task, run },
      deadline,
      (target, now) => target.start(command, token, leaseDeadline, now),
    );
    return answer ?? StartOutcome.unknown;
  }

  public async stop(
    runner: ListedRunner,
    command: StopCommand,
    token: number,
    deadline: number,
  ): Promise<Result<void, E>> {
    const { task, run } = command;
    const answer = await this.call<boolean | StartOutcome>(
      runner,
      { kind: CallKind.stop, runnerId: runner.id, sentAt: this.options.now(), task, run },
      deadline,
      (target, now) => target.stop(command, token, now),
    );
    return this.toError(answer, runner.id).map(() => undefined);
  }

  public async report(
    runner: ListedRunner,
    request: ReportRequest,
    deadline: number,
  ): Promise<Result<RunnerReport, E>> {
    const requestedAt = this.options.clock.monotonic();
    const leaseDeadline = request.extendsLease ? this.leaseDeadline(runner) : undefined;
    const { acknowledgedEnd } = request;
    const sentAt = this.options.now();
    const answer = await this.call<boolean | VirtualReport | StartOutcome>(
      runner,
      { kind: CallKind.report, runnerId: runner.id, sentAt, acknowledgedEnd },
      deadline,
      (target, now) =>
        target.acknowledge(request.token, acknowledgedEnd, leaseDeadline, now) &&
        target.report(now),
      request.waitMs,
    );
    return this.toError(answer, runner.id).map((report) => ({ ...report, requestedAt }));
  }

  // Undefined stands for no answer, false for a token that is too low, a text for a refusal.
  private toError<T>(
    answer: T | boolean | StartOutcome | undefined,
    runnerId: string,
  ): Result<T, E> {
    const { createError } = this.options;
    if (answer === undefined) {
      const kind = this.isRefusing(runnerId) ? 'disconnected' : 'unanswered';
      return err(createError(kind, `no answer of ${runnerId}`));
    }
    if (answer === false) {
      return err(createError('fenced', `${runnerId} has seen a higher token`));
    }
    return typeof answer === 'string'
      ? err(createError('refused', `${runnerId} refused the call: ${answer}`))
      : ok(answer as T);
  }

  // Resolves to undefined at the deadline if there is no answer.
  private async call<T>(
    { address }: ListedRunner,
    call: VirtualCall,
    deadline: number,
    execute: (target: VirtualRunner, now: number) => T,
    waitMs = 0,
  ): Promise<T | StartOutcome | undefined> {
    const remainingMs = Math.max(0, deadline - this.options.clock.monotonic());
    const expired = delay(remainingMs).then(() => undefined);
    const target = this.pool.get(call.runnerId);
    const { processStartedAt } = target;
    const fate = this.options.decideFate(call);
    this.options.trace?.(call, `sent, ${JSON.stringify(fate)}`);
    if (this.isRefusing(call.runnerId)) {
      return undefined;
    }
    if (this.options.isCut(call.runnerId) || address !== target.entry.address) {
      return expired;
    }
    const executeNow = (isBoundToProcess: boolean): T | undefined => {
      const now = this.options.now();
      this.pool.advance(now);
      const isReached =
        target.isUp && (!isBoundToProcess || target.processStartedAt === processStartedAt);
      const answer = isReached ? execute(target, now) : undefined;
      this.options.trace?.(call, `executed, ${JSON.stringify(answer)}`);
      return answer;
    };
    if (fate.kind === 'late') {
      setTimeout(() => executeNow(!this.options.lateCallsOutliveProcess), fate.lateMs);
      return expired;
    }
    if (fate.kind === 'dropped') {
      return expired;
    }
    if (fate.kind === 'refused') {
      const refused = delay(fate.latencyMs).then(() => (target.isUp ? fate.outcome : expired));
      return Promise.race([expired, refused]);
    }
    const answered = delay(fate.latencyMs).then(async () => {
      const executedBy = target.processStartedAt;
      let answer = executeNow(true);
      const waitEnd = this.options.now() + waitMs;
      while (
        answer !== undefined &&
        waitMs > 0 &&
        !target.hasEnds &&
        target.processStartedAt === executedBy &&
        !this.isRefusing(call.runnerId) &&
        this.options.now() < waitEnd
      ) {
        await delay(waitPollMs);
        this.pool.advance(this.options.now());
      }
      if (waitMs > 0 && answer !== undefined && typeof answer === 'object') {
        answer = target.report(this.options.now()) as T;
      }
      const clock = target.clock(this.options.now());
      await delay(fate.latencyMs);
      this.pool.advance(this.options.now());
      if (this.isRefusing(call.runnerId)) {
        return undefined;
      }
      const isLost =
        answer === undefined ||
        fate.kind === 'answerLost' ||
        this.options.isCut(call.runnerId) ||
        target.processStartedAt !== executedBy;
      if (isLost) {
        return expired;
      }
      const readAt = this.options.clock.monotonic();
      this.clockReadings.set(call.runnerId, { processStartedAt: executedBy, clock, readAt });
      return answer;
    });
    return Promise.race([expired, answered]);
  }

  private isRefusing(runnerId: string): boolean {
    return this.options.isRefusing?.(runnerId) ?? false;
  }

  private leaseDeadline(runner: ListedRunner): number {
    const reading = this.clockReadings.get(runner.id);
    if (reading === undefined || reading.processStartedAt !== runner.processStartedAt) {
      return 0;
    }
    const elapsedMs = (this.options.clock.monotonic() - reading.readAt) / maxClockSlowness;
    return Math.floor(reading.clock + elapsedMs + this.options.maxLeaseMs);
  }
}
