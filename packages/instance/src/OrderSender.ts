import type { Clock } from '@apricothoist/common';
import type { Dispatcher, StartOrder, StopOrder } from '@apricothoist/dispatch';
import { StartOutcome } from '@apricothoist/dispatch';

import type { RunnerClient } from './RunnerClient.js';
import { RunnerErrorKind } from './RunnerClient.js';
import type { LinkOwner } from './RunnerLink.js';

/**
 * Milliseconds for each attempt of a start, together well below the time that a gang waits for its
 * members. The order stays the same, so the runner carries it out once.
 */
const startAttemptMs = [250, 400, 600];
/** Milliseconds for one attempt of a stop; the dispatcher orders it again. */
const stopCallMs = 500;

/** Sends orders to runners, and tells the dispatcher what became of them. */
export class OrderSender {
  public constructor(
    private readonly dispatcher: Dispatcher,
    private readonly runners: RunnerClient,
    private readonly clock: Clock,
    private readonly owner: LinkOwner,
    private readonly onError: (error: unknown) => void,
  ) {}

  public start(order: StartOrder): void {
    this.tryStart(order).catch(this.onError);
  }

  public stop(order: StopOrder): void {
    this.tryStop(order).catch(this.onError);
  }

  private async tryStart(order: StartOrder): Promise<void> {
    const { runnerId, task, run } = order;
    const runner = this.dispatcher.state.runners.get(runnerId);
    let outcome: StartOutcome = StartOutcome.unknown;
    for (const attemptMs of startAttemptMs) {
      const { token } = this.owner;
      if (runner === undefined || token === undefined) {
        break;
      }
      const sentAt = this.clock.monotonic();
      this.dispatcher.noteLease(runnerId, sentAt);
      outcome = await this.runners.start(runner.listed, order, token, sentAt + attemptMs);
      if (outcome !== StartOutcome.unknown) {
        break;
      }
    }
    if (outcome === StartOutcome.fenced) {
      this.owner.yieldToSuccessor(runnerId);
    }
    this.dispatcher.answerStart(runnerId, task, run, outcome, this.clock.monotonic());
    this.owner.wake();
  }

  private async tryStop(order: StopOrder): Promise<void> {
    const { runnerId, task, run } = order;
    const runner = this.dispatcher.state.runners.get(runnerId);
    const { token } = this.owner;
    if (runner === undefined || runner.listed.address === '' || token === undefined) {
      return;
    }
    const deadline = this.clock.monotonic() + stopCallMs;
    const answer = await this.runners.stop(runner.listed, order, token, deadline);
    if (answer.isOk()) {
      this.dispatcher.answerStop(runnerId, task, run, this.clock.monotonic());
      this.owner.wake();
    } else if (answer.error.kind === RunnerErrorKind.fenced) {
      this.owner.yieldToSuccessor(runnerId);
    }
  }
}
