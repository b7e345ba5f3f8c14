import { StateChart } from '@apricothoist/common';

import { CrashHistory } from './CrashHistory.js';
import type { EndEvidence } from './EndEvidence.js';
import { FailedRuns } from './FailedRuns.js';
import type { JobRun } from './JobRun.js';
import type { Step } from './Job.js';
import { resourcesOf } from './Job.js';
import type { Permit } from './Permits.js';
import { stepKey } from './Permits.js';
import type { Resources } from './Resources.js';
import { coresOf } from './Resources.js';
import { RunHistory } from './RunHistory.js';
import chartSource from './taskGroup.chart.json' with { type: 'json' };

export const TaskGroupPhase = {
  waiting: 'waiting',
  /** A placement is chosen and its capacity reserved, but not all of it is free yet. */
  reserved: 'reserved',
  /** Start commands are issued, but not every member is known to run. */
  starting: 'starting',
  running: 'running',
  /** The run has been aborted, but some member may still run. */
  stopping: 'stopping',
  done: 'done',
  failed: 'failed',
} as const;
export type TaskGroupPhase = (typeof TaskGroupPhase)[keyof typeof TaskGroupPhase];

export type TaskGroupEvent =
  'reserve' | 'release' | 'requestStart' | 'confirmStart' | 'abort' | 'finish' | 'requeue' | 'fail';

export const taskGroupChart = new StateChart<TaskGroupPhase, TaskGroupEvent>(chartSource);

export const MemberState = {
  idle: 'idle',
  /** A start command was sent, or may have been; the member is not known to run. */
  starting: 'starting',
  /** The member is known to run. */
  running: 'running',
  /** The member does not run, and no start command in flight can start it. */
  ended: 'ended',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** A task of a task group and its placement. */
export interface Member {
  /** Index of the task within its step. */
  readonly index: number;
  /** Name of the task, as sent to runners. */
  readonly task: string;
  state: MemberState;
  runnerId: string | undefined;
  /** Incarnation of the runner that was chosen. */
  processStartedAt: number;
  /** What is known of the calls about the current or last run. */
  history: RunHistory;
  /** What proved the end of the last run that has ended; undefined if none has here. */
  endEvidence?: EndEvidence;
  /** Crashes of runners while the task was there, in any of its runs. */
  crashes: CrashHistory;
  isStopRequested: boolean;
  /** Last reported progress in percent. */
  percent: number;
  /** Monotonic time at which `percent` last changed. */
  progressedAt: number;
  /** Whether its present standstill was reported as a fault of the runner. */
  isStallReported: boolean;
  /**
   * Progress in percent when this run became known here: that of an earlier run may be resumed, or
   * an earlier scheduling instance may have started it.
   */
  originPercent: number;
  /** Monotonic time of `originPercent`; 0: the start of the run. */
  originAt: number;
  /** Whether the progress of this run has been recorded in the speed of its runner. */
  isSpeedRecorded: boolean;
}

/** Tasks that start and end together: a whole gang, or a single task. */
export class TaskGroup {
  private currentPhase: TaskGroupPhase = taskGroupChart.initial;

  /** Resources of one member. */
  public readonly size: Resources;

  /** Number of the current or last run; incremented with each start. */
  public run = 0;

  /** Number of the run that was done; 0 if none. */
  public doneRun = 0;

  /** Saved progress to resume from; empty if there is none. */
  public saved = '';

  /** Whether the current run resumed saved progress. */
  public isResumed = false;

  /** Monotonic start time of the current run; 0 if there is none. */
  public startedAt = 0;

  /** Monotonic time of the last start command. */
  public startRequestedAt = 0;

  /** Whether the current run was started by an earlier scheduling instance. */
  public isRestored = false;

  /** Monotonic time since which the task group waits to be started again; 0 before its first run. */
  public requeuedAt = 0;

  /** Monotonic time since which progress is unsaved: the start or the last saved progress. */
  public savedAt = 0;

  /** Monotonic time before which the task group is not started again. */
  public retryAt = 0;

  /** Monotonic time before which the victim search is not repeated. */
  public nextVictimSearchAt = 0;

  /** Monotonic time at which the reservation expires. */
  public reservedUntil = 0;

  public readonly failedRuns: FailedRuns;

  public constructor(
    public readonly job: JobRun,
    public readonly occurrence: number,
    public readonly stepIndex: number,
    public readonly members: readonly Member[],
  ) {
    this.size = resourcesOf(this.step);
    this.failedRuns = new FailedRuns(!this.step.isLasting);
  }

  /** Permits by runner id that are valid in this scheduling round. */
  public get permits(): ReadonlyMap<string, Permit> | undefined {
    return this.job.permits.get(stepKey(this));
  }

  public get phase(): TaskGroupPhase {
    return this.currentPhase;
  }

  public get step(): Step {
    return this.job.specification.steps[this.stepIndex] as Step;
  }

  /** Key of the task group within its job. */
  public get key(): string {
    return `${this.occurrence}.${this.stepIndex}.${this.members[0]?.index ?? 0}`;
  }

  /** Total size of all members in cores, accelerators included. */
  public get cores(): number {
    return coresOf(this.size) * this.members.length;
  }

  /** Whether a member may crash the runner that starts it. */
  public get isSuspect(): boolean {
    return this.members.some(({ crashes }) => crashes.isSuspect);
  }

  /** Whether the number of further starts of a member is limited. */
  public get isLimited(): boolean {
    return this.members.some(({ crashes }) => crashes.isLimited);
  }

  /** Milliseconds after its start for which a suspect keeps its runners to itself. */
  public get probationMs(): number {
    return Math.max(...this.members.map(({ crashes }) => crashes.probationMs));
  }

  /** Number of failed runs. */
  public get failures(): number {
    return this.failedRuns.count;
  }

  /** Whether the task group fails for good once its current run, if any, has ended. */
  public get hasUsedUpAttempts(): boolean {
    return !this.step.isLasting && this.failures >= this.job.queue.maxAttempts;
  }

  public get isActive(): boolean {
    return (
      this.phase === TaskGroupPhase.starting ||
      this.phase === TaskGroupPhase.running ||
      this.phase === TaskGroupPhase.stopping
    );
  }

  /** Applies a state chart event; events that the current phase does not list are ignored. */
  public apply(event: TaskGroupEvent): void {
    this.currentPhase = taskGroupChart.next(this.phase, event);
    this.job.recordPhaseChange();
  }

  /** Marks the task group as done, from stored progress. */
  public restoreDone(): void {
    this.currentPhase = TaskGroupPhase.done;
    this.job.recordPhaseChange();
  }
}

export function createMember(task: string, index: number): Member {
  return {
    index,
    task,
    state: MemberState.idle,
    runnerId: undefined,
    processStartedAt: 0,
    history: RunHistory.forStart(),
    crashes: new CrashHistory(),
    isStopRequested: false,
    percent: 0,
    progressedAt: 0,
    isStallReported: false,
    originPercent: 0,
    originAt: 0,
    isSpeedRecorded: false,
  };
}
