import type { Clock } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { Dispatcher, StartCommand, StopCommand } from '@apricothoist/dispatch';
import { StartOutcome } from '@apricothoist/dispatch';
import PQueue from 'p-queue';

import type { RunnerClient } from './RunnerClient.js';
import { RunnerErrorKind } from './RunnerClient.js';
import type { RunnerLinkOwner } from './RunnerLink.js';

/**
 * Timeouts in milliseconds of the attempts of a start; their sum is well below the time that a gang
 * waits for its members. A retry repeats the same command, which the runner executes only once.
 */
const startAttemptTimeoutsMs = [250, 400, 600];
/**
 * Milliseconds from the first call of a step after which no further one is sent, for the sake of the
 * members of a gang that have started.
 */
const startPeriodMs = 1_300;
/** Milliseconds after which a call without an answer no longer delays the next ones. */
const slotMs = 150;
/** Start calls sent at the same time; as many carry 4.5 KB each over 2 Mbit/s within `slotMs`. */
const maxOpenStarts = 6;
/** Timeout in milliseconds of a stop call; the dispatcher repeats the command if it fails. */
const stopTimeoutMs = 500;

/** Start commands of the tasks of one step, which may be a gang. */
interface StartBatch {
  /** Monotonic milliseconds; Infinity until the first call is sent. */
  sendBy: number;
}

/**
 * Sends commands to runners and reports their outcomes to the dispatcher.
 *
 * Load pattern: hundreds of starts with payloads of some kilobytes after a takeover, over a link of
 * 2 Mbit/s. Sent at once they take longer than their timeouts, and each is sent again.
 */
export class CommandSender {
  private readonly startQueue = new PQueue({ concurrency: maxOpenStarts });

  public constructor(
    private readonly dispatcher: Dispatcher,
    private readonly runners: RunnerClient,
    private readonly clock: Clock,
    private readonly steadyClock: Clock,
    private readonly owner: RunnerLinkOwner,
    private readonly onError: (error: unknown) => void,
  ) {}

  /** Sends the start commands of one or more jobs. */
  public start(commands: readonly StartCommand[]): void {
    const batches = new Map<string, StartBatch>();
    commands.forEach((command) => {
      const key = `${stepOf(command.task)}#${command.run}`;
      const batch = batches.get(key) ?? { sendBy: Infinity };
      batches.set(key, batch);
      this.tryStart(command, batch).catch(this.onError);
    });
  }

  public stop(command: StopCommand): void {
    this.tryStop(command).catch(this.onError);
  }

  private async tryStart(command: StartCommand, batch: StartBatch): Promise<void> {
    const { runnerId, task, run } = command;
    const runner = this.dispatcher.state.runners.get(runnerId);
    const outcomes: StartOutcome[] = [];
    for (const attemptMs of startAttemptTimeoutsMs) {
      // The run must not count as ended by its lease while the call waits for the confirmation.
      this.dispatcher.recordLeaseExtension(runnerId, this.steadyClock.monotonic());
      const isConfirmed = await this.owner.confirmRunner(runnerId);
      const outcome = isConfirmed ? await this.tryCall(command, batch, attemptMs) : undefined;
      if (outcome !== undefined) {
        outcomes.push(outcome);
      }
      if (outcome !== StartOutcome.unknown) {
        break;
      }
    }
    // The answers may come from a process that is gone; the present one may still get the calls.
    const isPresent =
      runner?.listed.processStartedAt === command.processStartedAt && !runner.identity.isInDoubt;
    if (outcomes.length > 0 && !isPresent) {
      outcomes.push(StartOutcome.unknown);
    }
    if (outcomes.includes(StartOutcome.unknown)) {
      this.owner.reportUnsettledStart(command, outcomes);
    }
    if (outcomes.includes(StartOutcome.fenced)) {
      this.owner.yieldToSuccessor(runnerId);
    }
    this.dispatcher.recordStartOutcomes(runnerId, task, run, outcomes, this.clock.monotonic());
    this.owner.wake();
  }

  // A call that throws may have been sent; without an outcome its run would never be settled.
  private async tryCall(
    command: StartCommand,
    batch: StartBatch,
    attemptMs: number,
  ): Promise<StartOutcome | undefined> {
    try {
      return await this.callInTurn(command, batch, attemptMs);
    } catch (error) {
      this.onError(error);
      return StartOutcome.unknown;
    }
  }

  /** Resolves to undefined if the call is not sent. */
  private async callInTurn(
    command: StartCommand,
    batch: StartBatch,
    attemptMs: number,
  ): Promise<StartOutcome | undefined> {
    let answer: Promise<StartOutcome> | undefined;
    await this.startQueue.add(async () => {
      answer = this.callStart(command, batch, attemptMs);
      await Promise.race([answer, delay(slotMs)]);
    });
    return answer;
  }

  private callStart(
    command: StartCommand,
    batch: StartBatch,
    attemptMs: number,
  ): Promise<StartOutcome> | undefined {
    const { runnerId } = command;
    const runner = this.dispatcher.state.runners.get(runnerId);
    const { token } = this.owner;
    const sentAt = this.clock.monotonic();
    const maySend = sentAt <= batch.sendBy && this.dispatcher.isStartWanted(command, sentAt);
    if (runner === undefined || token === undefined || !maySend) {
      return undefined;
    }
    batch.sendBy = Math.min(batch.sendBy, sentAt + startPeriodMs);
    this.dispatcher.recordLeaseExtension(runnerId, this.steadyClock.monotonic());
    return this.runners.start(runner.listed, command, token, sentAt + attemptMs);
  }

  private async tryStop(command: StopCommand): Promise<void> {
    const { runnerId, task, run } = command;
    const runner = this.dispatcher.state.runners.get(runnerId);
    const { token } = this.owner;
    if (runner === undefined || runner.listed.address === '' || token === undefined) {
      return;
    }
    const { processStartedAt } = runner.listed;
    const deadline = this.clock.monotonic() + stopTimeoutMs;
    const response = await this.runners.stop(runner.listed, command, token, deadline);
    if (response.isOk()) {
      const now = this.clock.monotonic();
      this.dispatcher.recordStopResponse(runnerId, processStartedAt, task, run, now);
      this.owner.wake();
    } else if (response.error.kind === RunnerErrorKind.fenced) {
      this.owner.yieldToSuccessor(runnerId);
    }
  }
}

/** Name of a task without the index of the task within its step. */
function stepOf(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}
