/** What the circumstances of a crash say about a task that was on the runner. */
export const CrashSuspicion = {
  /** No other task group was on the runner. */
  alone: 'alone',
  /** No other task group had started there since. */
  latest: 'latest',
  /** Others had started there since, or the order is not known. */
  beside: 'beside',
} as const;
export type CrashSuspicion = (typeof CrashSuspicion)[keyof typeof CrashSuspicion];

/** Crash of a runner while a task was there. */
export interface TaskCrash {
  readonly runnerId: string;
  /** Incarnation that crashed. */
  readonly processStartedAt: number;
  readonly suspicion: CrashSuspicion;
  /**
   * Whether something else may be to blame: other runners were lost at the same time, or the process
   * may not have ended.
   */
  readonly isDoubtful: boolean;
  /** Milliseconds from the start command to the loss of the runner. */
  readonly ageMs: number;
}

/** Stored form of a history. */
export type CrashRecord = readonly [
  startsAfterLimit: number,
  crashes: readonly (readonly [string, number, CrashSuspicion, boolean, number])[],
];

/** Crashes after which the number of further starts is limited. */
const crashLimit = 3;
/** Starts that are allowed after them; the service requirement forbids the next one. */
const maxStartsAfterLimit = 2;
/** Crashes at the same age that prove the task to blame: fewer if each came right after the start. */
const minCrashes = 3;
const minPromptCrashes = 2;
/** Longest such age in milliseconds; runners that crash for other reasons do so at any age. */
const promptAgeMs = 1_000;
/** Milliseconds and share by which the ages of crashes by one task may differ. */
const ageToleranceMs = 250;
const ageToleranceShare = 0.25;
/** Milliseconds beyond the age at the last crash for which a suspect keeps its runner to itself. */
const probationMarginMs = 300;
const probationFactor = 1.5;
/** Longest such time in milliseconds, as it leaves most of the runner unused. */
const maxProbationMs = 3_000;

/** The same in milliseconds for a task of which only few more starts are allowed. */
const limitedProbationMs = 10_000;

/** Suspicions that hold the task more likely to blame than others. */
const grave = new Set<CrashSuspicion>([CrashSuspicion.alone, CrashSuspicion.latest]);

/**
 * Crashes of runners under one task. The only place that decides whether the task is to blame.
 *
 * A crash ends everything on the runner, and runners also crash for other reasons. A single crash
 * gives no proof; several at the same age, one of them without other tasks on the runner, do.
 */
export class CrashHistory {
  private crashes: TaskCrash[] = [];

  private startsAfterLimit = 0;

  private isLastStartCounted = false;

  public static restore([startsAfterLimit, crashes]: CrashRecord): CrashHistory {
    const history = new CrashHistory();
    history.startsAfterLimit = startsAfterLimit;
    history.crashes = crashes.map(([runnerId, processStartedAt, suspicion, isDoubtful, ageMs]) => ({
      runnerId,
      processStartedAt,
      suspicion,
      isDoubtful,
      ageMs,
    }));
    return history;
  }

  /** Form to be stored; undefined if there is no crash. */
  public toRecord(): CrashRecord | undefined {
    const rows = this.crashes.map(
      ({ runnerId, processStartedAt, suspicion, isDoubtful, ageMs }) =>
        [runnerId, processStartedAt, suspicion, isDoubtful, ageMs] as const,
    );
    return rows.length === 0 ? undefined : [this.startsAfterLimit, rows];
  }

  public get all(): readonly TaskCrash[] {
    return this.crashes;
  }

  /** Adds a crash; returns false if that of this incarnation is known. */
  public add(crash: TaskCrash): boolean {
    const isKnown = this.crashes.some(
      ({ runnerId, processStartedAt }) =>
        runnerId === crash.runnerId && processStartedAt === crash.processStartedAt,
    );
    if (!isKnown) {
      this.crashes.push(crash);
    }
    return !isKnown;
  }

  /** Records that something else may be to blame for the crash of an incarnation. */
  public markDoubtful(runnerId: string, processStartedAt: number): void {
    this.crashes = this.crashes.map((crash) =>
      crash.runnerId === runnerId && crash.processStartedAt === processStartedAt
        ? { ...crash, isDoubtful: true }
        : crash,
    );
  }

  /** Removes a presumed crash: the incarnation has been heard of since. */
  public retract(runnerId: string, processStartedAt: number): boolean {
    const count = this.crashes.length;
    this.crashes = this.crashes.filter(
      (crash) => crash.runnerId !== runnerId || crash.processStartedAt !== processStartedAt,
    );
    if (!this.isLimited) {
      this.startsAfterLimit = 0;
      this.isLastStartCounted = false;
    }
    return this.crashes.length < count;
  }

  /** Records a start command; it counts even if it is not known to have been executed. */
  public recordStart(): void {
    this.isLastStartCounted = this.isLimited;
    this.startsAfterLimit += this.isLastStartCounted ? 1 : 0;
  }

  /** Records that one start command was executed by another process as well. */
  public recordFurtherStart(): void {
    this.startsAfterLimit += this.isLimited ? 1 : 0;
  }

  /** Records that the runner has certainly not executed the last start command. */
  public recordNotStarted(runnerId: string, processStartedAt: number): void {
    this.retract(runnerId, processStartedAt);
    this.startsAfterLimit -= this.isLastStartCounted ? 1 : 0;
    this.isLastStartCounted = false;
  }

  /** Whether the number of further starts is limited. */
  public get isLimited(): boolean {
    return this.crashes.length >= crashLimit;
  }

  /** Whether the task starts next where it takes the least with it. */
  public get isSuspect(): boolean {
    const certain = this.crashes.filter(({ isDoubtful }) => !isDoubtful);
    const isGrave = certain.some(({ suspicion }) => grave.has(suspicion));
    return this.isLimited || certain.length > 1 || isGrave;
  }

  /** Whether the task is not started any more. */
  public get isToBeGivenUp(): boolean {
    return this.startsAfterLimit >= maxStartsAfterLimit || this.hasProof;
  }

  /** Milliseconds after its start for which a suspect keeps its runner to itself. */
  public get probationMs(): number {
    if (this.isLimited) {
      return limitedProbationMs;
    }
    const ages = this.crashes.map(({ ageMs }) => ageMs);
    const longestMs = Math.max(0, ...ages) * probationFactor + probationMarginMs;
    return Math.min(maxProbationMs, longestMs);
  }

  private get hasProof(): boolean {
    const crashes = this.crashes.filter(
      ({ suspicion, isDoubtful }) => grave.has(suspicion) && !isDoubtful,
    );
    return crashes.some((crash) => {
      const similar = crashes.filter((other) => haveSameAge(crash, other));
      const isPrompt = similar.every(({ ageMs }) => ageMs <= promptAgeMs);
      return (
        crash.suspicion === CrashSuspicion.alone &&
        similar.length >= (isPrompt ? minPromptCrashes : minCrashes)
      );
    });
  }
}

function haveSameAge(left: TaskCrash, right: TaskCrash): boolean {
  const toleranceMs = ageToleranceMs + Math.min(left.ageMs, right.ageMs) * ageToleranceShare;
  return Math.abs(left.ageMs - right.ageMs) <= toleranceMs;
}
