import { DurationEstimates } from './DurationEstimates.js';
import type { Account, Queue } from './Job.js';
import type { JobRun } from './JobRun.js';
import type { Runner } from './Runner.js';
import type { PaceRecord } from './RunnerPace.js';
import type { Unit } from './Unit.js';
import { UrgentDemand } from './UrgentDemand.js';
import { UrgentHeadroom } from './UrgentHeadroom.js';

/** An order to start one task; to be sent once the job's progress is stored. */
export interface StartOrder {
  readonly runnerId: string;
  readonly jobId: string;
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** Progress to resume from; empty: none. */
  readonly saved: string;
}

/** An order to stop one run of a task. */
export interface StopOrder {
  readonly runnerId: string;
  readonly task: string;
  readonly run: number;
}

/** Details of a decision, by name. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Takes one line for each decision. */
export interface DecisionLog {
  decide(kind: DecisionKind, fields: DecisionFields): void;
}

/** What the dispatcher decides or learns; each has a numbered log event. */
export type DecisionKind =
  | 'jobQueued'
  | 'jobEnded'
  | 'unitOrdered'
  | 'unitReserved'
  | 'unitStarted'
  | 'unitAborted'
  | 'unitDone'
  | 'runnerListed'
  | 'runnerDraining'
  | 'runnerUnlisted'
  | 'runnerReborn'
  | 'runnerHeldBack'
  | 'runnerLapsed'
  | 'orphanStopped';

/** Times that the platform guarantees, in milliseconds. */
export interface DispatchBounds {
  /** Longest time a task takes to stop. */
  readonly stopMs: number;
  /** Longest time until a guaranteed job has to have begun. */
  readonly reclaimMs: number;
  /** Longest lease that a runner grants. */
  readonly maxLeaseMs: number;
  /** Slowdown of a task away from the rack of its data, or of a gang spread over racks. */
  readonly farSlowdown: number;
}

/** What may be weighed differently from one deployment to another. */
export interface DispatchPolicy {
  /**
   * Largest share of all accelerators that is kept free for urgent jobs. With more, waiting jobs
   * would stand beside a service that is hardly half used, which the users' rules forbid.
   */
  readonly headroomShare: number;
  /**
   * Most unsaved work that an urgent job may stop, per unit of its own work. The users value urgent
   * work about four times as high as the work that it stops, and that has to be done again too.
   */
  readonly lostWorkRatio: number;
  /** Core-seconds that even the smallest urgent job may stop; the users give each job a base worth. */
  readonly lostWorkBase: number;
  /** Whether runners are told apart by their pace, so that urgent work gets the fast ones. */
  readonly learnsPace: boolean;
}

export const defaultPolicy: DispatchPolicy = {
  headroomShare: 0.35,
  lostWorkRatio: 1.5,
  lostWorkBase: 300,
  learnsPace: true,
};

/** Everything that the scheduling instance believes. */
export class DispatchState {
  public readonly jobs = new Map<string, JobRun>();

  /** Jobs that are not over. */
  public readonly openJobs = new Set<JobRun>();

  /** Units that have places reserved. */
  public readonly reserved = new Set<Unit>();

  public readonly runners = new Map<string, Runner>();

  public queues: ReadonlyMap<string, Queue> = new Map();

  public accounts: ReadonlyMap<string, Account> = new Map();

  /** Paces of runners that a former scheduler has learned, by their life. */
  public readonly formerPaces = new Map<string, PaceRecord>();

  public readonly estimates = new DurationEstimates();

  public readonly urgentHeadroom = new UrgentHeadroom();

  public readonly urgentDemand = new UrgentDemand();

  public starts: StartOrder[] = [];

  public stops: StopOrder[] = [];

  public constructor(
    public readonly bounds: DispatchBounds,
    public readonly log: DecisionLog,
    public readonly policy: DispatchPolicy,
  ) {}
}
