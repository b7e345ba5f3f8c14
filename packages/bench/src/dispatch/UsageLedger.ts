import type { UsageSecond } from '@apricothoist/testing';

/** Why accelerator-seconds were lost. */
export const UsageLoss = {
  /** Unsaved work of preempted runs, and the time that they took to stop. */
  preempted: 'preempted',
  /** The same of runs that were stopped for another reason. */
  stopped: 'stopped',
  /** Waiting of tasks for slower ones of their gang. */
  slowestMember: 'slowestMember',
  /** Work of jobs that ended without value for their caller. */
  worthless: 'worthless',
} as const;
export type UsageLoss = (typeof UsageLoss)[keyof typeof UsageLoss];

/** A run of a task that has ended. */
export interface UsageRun {
  readonly accelerators: number;
  readonly ranMs: number;
  readonly lostMs: number;
  /** Milliseconds that it waited for slower tasks of its gang. */
  readonly idleMs: number;
  /** Age at which it was preempted; undefined if it was not. */
  readonly preemptedAfterMs: number | undefined;
  /** Whether its job ended without value for its caller. */
  readonly isWorthless: boolean;
}

/** Milliseconds below which a preempted run counts as young: its start gained nothing. */
export const youngRunMs = 250;
const msPerSecond = 1_000;

/**
 * Accelerator-seconds of a replay. `used` and `lost` are those of the runs that have ended, `idle`
 * and `reserved` those of the free accelerators during the load.
 */
export class UsageLedger {
  public used = 0;

  public readonly lost: Record<UsageLoss, number> = {
    preempted: 0,
    stopped: 0,
    slowestMember: 0,
    worthless: 0,
  };

  public idle = 0;

  public reserved = 0;

  /** All accelerator-seconds of the service during the load. */
  public capacity = 0;

  /** Occupied share of the accelerators, by second of the load. */
  public readonly occupiedBySecond: number[] = [];

  public preemptedRuns = 0;

  /** Preempted runs younger than `youngRunMs`. */
  public youngPreemptedRuns = 0;

  public constructor(runs: readonly UsageRun[], secondsOfLoad: readonly UsageSecond[]) {
    runs.forEach((run) => this.recordRun(run));
    secondsOfLoad.forEach(({ occupied, reserved, idle }) => {
      this.idle += idle / msPerSecond;
      this.reserved += reserved / msPerSecond;
      this.capacity += (occupied + reserved + idle) / msPerSecond;
      this.occupiedBySecond.push(occupied / Math.max(1, occupied + reserved + idle));
    });
  }

  private recordRun({
    accelerators,
    ranMs,
    lostMs,
    idleMs,
    preemptedAfterMs,
    isWorthless,
  }: UsageRun): void {
    const seconds = accelerators / msPerSecond;
    const isPreempted = preemptedAfterMs !== undefined;
    this.lost[isPreempted ? UsageLoss.preempted : UsageLoss.stopped] += lostMs * seconds;
    this.lost.slowestMember += idleMs * seconds;
    const usefulMs = ranMs - lostMs - idleMs;
    if (isWorthless) {
      this.lost.worthless += usefulMs * seconds;
    } else {
      this.used += usefulMs * seconds;
    }
    if (isPreempted) {
      this.preemptedRuns += 1;
      this.youngPreemptedRuns += preemptedAfterMs < youngRunMs ? 1 : 0;
    }
  }
}
