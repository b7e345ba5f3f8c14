import { StateChart } from '@apricothoist/common';

import type { JobRun } from './JobRun.js';
import type { Step } from './Job.js';
import { roomOf } from './Job.js';
import type { Resources } from './Resources.js';
import { coresOf } from './Resources.js';
import unitSource from './unit.chart.json' with { type: 'json' };

export const UnitPhase = {
  waiting: 'waiting',
  /** Places are chosen and kept free, but not all of them are empty yet. */
  reserved: 'reserved',
  ordered: 'ordered',
  running: 'running',
  /** The run is over, but some member may still run. */
  stopping: 'stopping',
  done: 'done',
  failed: 'failed',
} as const;
export type UnitPhase = (typeof UnitPhase)[keyof typeof UnitPhase];

export type UnitEvent =
  'reserve' | 'release' | 'order' | 'start' | 'abort' | 'finish' | 'clear' | 'exhaust';

export const unitChart = new StateChart<UnitPhase, UnitEvent>(unitSource);

export const MemberState = {
  idle: 'idle',
  /** A start was sent, or may have been; it is not known to have begun. */
  ordered: 'ordered',
  present: 'present',
  /** It does not run and no order can start it any more. */
  over: 'over',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** One task of a unit and where it runs. */
export interface Member {
  /** Index of the task within its step. */
  readonly index: number;
  /** Name of the task on runners. */
  readonly task: string;
  state: MemberState;
  runnerId: string | undefined;
  /** Monotonic time since which a report without this task means that it does not run. */
  settledAt: number;
  isStopOrdered: boolean;
  /** Progress in percent of the work, as last reported. */
  percent: number;
  /** Monotonic time at which `percent` last changed. */
  progressedAt: number;
  /** Whether its progress in this run has told of the pace of its runner. */
  isPaceNoted: boolean;
}

/** What starts and ends together: a whole gang, or a single task. */
export class Unit {
  private currentPhase: UnitPhase = unitChart.initial;

  /** What one member takes. */
  public readonly size: Resources;

  /** Number of the current or last run; grows with each. */
  public run = 0;

  /** Failed runs so far. */
  public failures = 0;

  /** Progress to resume from; empty: none. */
  public saved = '';

  /** Whether the current run resumed saved progress. */
  public isResumed = false;

  /** Monotonic time at which the current run began; 0 while none runs. */
  public startedAt = 0;

  /** Monotonic time of the last order. */
  public orderedAt = 0;

  /** Monotonic time since which progress may be lost: the start or the last saved value. */
  public savedAt = 0;

  /** Monotonic time before which the unit is not tried again. */
  public retryAt = 0;

  /** Monotonic time before which no victims are sought for it again. */
  public searchAt = 0;

  /** Monotonic time at which a reservation is given up. */
  public reservedUntil = 0;

  public hasFailedInRun = false;

  /** Runners on which a run of this unit failed. */
  public readonly failedRunners = new Set<string>();

  public constructor(
    public readonly job: JobRun,
    public readonly occurrence: number,
    public readonly stepIndex: number,
    public readonly members: readonly Member[],
  ) {
    this.size = roomOf(this.step);
  }

  public get phase(): UnitPhase {
    return this.currentPhase;
  }

  public get step(): Step {
    return this.job.specification.steps[this.stepIndex] as Step;
  }

  /** Names the unit within its job. */
  public get key(): string {
    return `${this.occurrence}.${this.stepIndex}.${this.members[0]?.index ?? 0}`;
  }

  /** Size of all members together, in cores. */
  public get cores(): number {
    return coresOf(this.size) * this.members.length;
  }

  public get isActive(): boolean {
    return (
      this.phase === UnitPhase.ordered ||
      this.phase === UnitPhase.running ||
      this.phase === UnitPhase.stopping
    );
  }

  /** Applies a chart event; an event that the phase does not list changes nothing. */
  public apply(event: UnitEvent): void {
    this.currentPhase = unitChart.next(this.phase, event);
    this.job.noteUnitChange();
  }

  /** Takes over from the store that the unit is done. */
  public restoreDone(): void {
    this.currentPhase = UnitPhase.done;
    this.job.noteUnitChange();
  }
}

export function createMember(task: string, index: number): Member {
  return {
    index,
    task,
    state: MemberState.idle,
    runnerId: undefined,
    settledAt: 0,
    isStopOrdered: false,
    percent: 0,
    progressedAt: 0,
    isPaceNoted: false,
  };
}
