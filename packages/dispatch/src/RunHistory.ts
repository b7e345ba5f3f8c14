import { EndEvidence } from './EndEvidence.js';
import { StartOutcome } from './StartOutcome.js';

/** Observation from which the end of a run may be concluded. */
export interface EndObservation {
  readonly evidence: EndEvidence;
  /** Monotonic time of the request for a report, or steady time of the check of a lease. */
  readonly at: number;
  /** Steady time after which no lease on the runner can be valid. */
  readonly leaseEnd: number;
}

/**
 * What is known of the calls about one run on its runner. The only place that decides whether an
 * observation proves that the run has ended and cannot start any more; a task may be started again
 * only then.
 */
export class RunHistory {
  private constructor(
    /** Whether a start call is in flight or unanswered: the runner may execute it later. */
    private hasOpenCall: boolean,
    /**
     * Monotonic time from which a report without the run proves its end: the run was seen, or the
     * runner rejects it from then on. Infinity while neither is known.
     */
    private reportableSince: number,
  ) {}

  /** History of a run whose start command is about to be sent. */
  public static forStart(): RunHistory {
    return new RunHistory(true, Infinity);
  }

  /** History of a run that a runner reports although no start command of it is known. */
  public static forReported(now: number): RunHistory {
    return new RunHistory(false, now);
  }

  /**
   * History of a run from stored progress. A report shows that the runner has accepted the token of
   * this instance; from then on it rejects the calls of the previous one.
   */
  public static forTakeover(now: number): RunHistory {
    return new RunHistory(false, now);
  }

  /** Records the outcomes of all calls of the start command, in the order of the calls. */
  public recordStartOutcomes(outcomes: readonly StartOutcome[], now: number): void {
    this.hasOpenCall = outcomes.includes(StartOutcome.unknown);
    const last = outcomes.at(-1);
    if (last === StartOutcome.started || last === StartOutcome.outdatedRun) {
      this.recordReportable(now);
    }
  }

  /** Records that the run was seen, or that the runner has confirmed its stop. */
  public recordReportable(now: number): void {
    this.reportableSince = Math.min(this.reportableSince, now);
  }

  /**
   * Records that the runner process was restarted. The new one knows nothing of a confirmed stop or
   * of a run that has ended, and may still execute an open call.
   */
  public recordRestart(): void {
    if (this.hasOpenCall) {
      this.reportableSince = Infinity;
    }
  }

  /** Whether the runner may still start the run, unless its lease has expired. */
  public get mayStillStart(): boolean {
    return this.hasOpenCall && this.reportableSince === Infinity;
  }

  /** Whether a stop has to be confirmed before a report can prove the end. */
  public get needsStop(): boolean {
    return this.reportableSince === Infinity;
  }

  /** Whether the observation proves that the run has ended and cannot start any more. */
  public isEndedBy(observation: EndObservation): boolean {
    return this.proofs[observation.evidence](observation);
  }

  private readonly proofs: Record<EndEvidence, (observation: EndObservation) => boolean> = {
    [EndEvidence.reported]: () => true,
    [EndEvidence.refused]: () => !this.hasOpenCall && this.reportableSince === Infinity,
    [EndEvidence.absent]: ({ at }) => this.reportableSince < at,
    [EndEvidence.leaseExpired]: ({ at, leaseEnd }) => at > leaseEnd,
  };
}
