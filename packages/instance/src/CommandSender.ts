import type { Clock } from '@apricothoist/common';
import type { Dispatcher, StartCommand, StopCommand } from '@apricothoist/dispatch';
import { StartOutcome } from '@apricothoist/dispatch';

import type { RunnerClient } from './RunnerClient.js';
import { RunnerErrorKind } from './RunnerClient.js';
import type { RunnerLinkOwner } from './RunnerLink.js';

/**
 * Timeouts in milliseconds of the attempts of a start; their sum is well below the time that a gang
 * waits for its members. A retry repeats the same command, which the runner executes only once.
 */
const startAttemptTimeoutsMs = [250, 400, 600];
/** Milliseconds after which no further call of a start is sent, for the sake of its gang. */
const startPeriodMs = 1_300;
/** Timeout in milliseconds of a stop call; the dispatcher repeats the command if it fails. */
const stopTimeoutMs = 500;

/** Sends commands to runners and reports their outcomes to the dispatcher. */
export class CommandSender {
  public constructor(
    private readonly dispatcher: Dispatcher,
    private readonly runners: RunnerClient,
    private readonly clock: Clock,
    private readonly steadyClock: Clock,
    private readonly owner: RunnerLinkOwner,
    private readonly onError: (error: unknown) => void,
  ) {}

  public start(command: StartCommand): void {
    this.tryStart(command).catch(this.onError);
  }

  public stop(command: StopCommand): void {
    this.tryStop(command).catch(this.onError);
  }

  private async tryStart(command: StartCommand): Promise<void> {
    const { runnerId, task, run } = command;
    const runner = this.dispatcher.state.runners.get(runnerId);
    const outcomes: StartOutcome[] = [];
    const sendBy = this.clock.monotonic() + startPeriodMs;
    for (const attemptMs of startAttemptTimeoutsMs) {
      // The run must not count as ended by its lease while the call waits for the confirmation.
      this.dispatcher.recordLeaseExtension(runnerId, this.steadyClock.monotonic());
      const isConfirmed = await this.owner.confirmRunner(runnerId);
      const { token } = this.owner;
      const sentAt = this.clock.monotonic();
      const maySend =
        isConfirmed && sentAt <= sendBy && this.dispatcher.isStartWanted(command, sentAt);
      if (runner === undefined || token === undefined || !maySend) {
        break;
      }
      this.dispatcher.recordLeaseExtension(runnerId, this.steadyClock.monotonic());
      const outcome = await this.runners.start(runner.listed, command, token, sentAt + attemptMs);
      outcomes.push(outcome);
      if (outcome !== StartOutcome.unknown) {
        break;
      }
    }
    // The answers came from a process that is gone; the present one may still get the calls.
    if (outcomes.length > 0 && runner?.listed.processStartedAt !== command.processStartedAt) {
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
