import { AdviceSearch } from './AdviceSearch.js';
import type { DispatchState, StartCommand } from './DispatchState.js';
import type { AdviceAnswer, AdviceQuestion } from './Permits.js';

/** Number of permits and of the starts that wait for one. */
export interface PermitSummary {
  readonly held: number;
  /** Waiting task groups without any permit. */
  readonly waitingGroups: number;
}

/** The part of the dispatcher that deals with the advice service. */
export class AdviceExchange {
  public constructor(
    private readonly state: DispatchState,
    /** Called when permits have changed, so that other placements are possible. */
    private readonly onChange: () => void,
  ) {}

  /** Whether a queue or an open job needs the advice service. */
  public get isUsed(): boolean {
    return this.state.usesAdvice;
  }

  /** The next question to the service, if there is one. */
  public chooseQuestion(now: number): AdviceQuestion | undefined {
    return this.isUsed ? new AdviceSearch(this.state, now).find() : undefined;
  }

  /**
   * Records an answer and returns the ids in it that the question did not name.
   *
   * @param answeredAt monotonic time from which the validity counts
   */
  public record(
    question: AdviceQuestion,
    answer: AdviceAnswer,
    answeredAt: number,
  ): readonly string[] {
    this.onChange();
    return this.state.permits.record(question, answer, answeredAt);
  }

  /**
   * Records that the service did not answer the question.
   *
   * @param postponedUntil monotonic time before which its step is not asked about again
   */
  public recordFailure({ step }: AdviceQuestion, postponedUntil = -Infinity): void {
    this.onChange();
    this.state.permits.isUnavailable = true;
    this.state.permits.postpone(step, postponedUntil);
  }

  /** Whether a start command may be sent now as far as its permit is concerned. */
  public isPermitted({ jobId, permitSendBy }: StartCommand, now: number): boolean {
    const needsPermit = this.state.jobs.get(jobId)?.queue.advice !== undefined;
    const isPermitted = !needsPermit || (permitSendBy !== undefined && now <= permitSendBy);
    this.state.counters.lapsedPermits += isPermitted ? 0 : 1;
    return isPermitted;
  }

  public summarize(now: number): PermitSummary {
    const { permits, runners, openJobs } = this.state;
    const waiting = [...openJobs]
      .filter(({ queue }) => queue.advice !== undefined)
      .flatMap(({ readyGroups }) => readyGroups)
      .filter((group) => (group.permits?.size ?? 0) === 0);
    return { held: permits.countValid(runners, now), waitingGroups: waiting.length };
  }

  /** Notes whether advice is needed, after a change of the configuration. */
  public updateUse(): void {
    const { queues, openJobs } = this.state;
    this.state.usesAdvice =
      [...queues.values()].some(({ advice }) => advice !== undefined) ||
      // The permits of jobs whose queue has lost its advice are removed in the next round.
      [...openJobs].some(({ queue, permits }) => queue.advice !== undefined || permits.size > 0);
  }

  public forgetEndedJobs(): void {
    const { permits, openJobs } = this.state;
    if (!permits.isEmpty) {
      permits.retain(new Set([...openJobs].map(({ id }) => id)));
    }
  }
}
