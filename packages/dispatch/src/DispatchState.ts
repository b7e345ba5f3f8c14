import type { JobRank } from './DispatchOrder.js';
import { DurationEstimates } from './DurationEstimates.js';
import { Evacuations } from './Evacuations.js';
import type { Account, Queue } from './Job.js';
import type { JobRun } from './JobRun.js';
import type { PreparedRunner } from './MaintenancePlan.js';
import { Permits } from './Permits.js';
import { RunCounters } from './RunCounters.js';
import type { Runner } from './Runner.js';
import type { SpeedRecord } from './RunnerSpeed.js';
import { SpeedClasses } from './SpeedClasses.js';
import type { TaskGroup } from './TaskGroup.js';
import { UrgentDemand } from './UrgentDemand.js';
import { UrgentHeadroom } from './UrgentHeadroom.js';

/** Command to start one task; must be sent only after the progress of the job is stored. */
export interface StartCommand {
  readonly runnerId: string;
  /** Incarnation of the runner that was chosen; another one may be of another kind. */
  readonly processStartedAt: number;
  readonly jobId: string;
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** Saved progress to resume from; empty if there is none. */
  readonly saved: string;
  /** Permit of the advice service, in queues with advice. */
  readonly permit?: string;
  /** Monotonic time until which a start with the permit may be sent. */
  readonly permitSendBy?: number;
}

/** Command to stop one run of a task. */
export interface StopCommand {
  readonly runnerId: string;
  readonly task: string;
  readonly run: number;
}

/** Log fields of a decision. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Sink for scheduling decisions. */
export interface DecisionLog {
  decide(kind: DecisionKind, fields: DecisionFields): void;
}

/** Kinds of logged decisions and observations; each has a numbered log event. */
export type DecisionKind =
  | 'jobQueued'
  | 'jobEnded'
  | 'groupStartRequested'
  | 'groupReserved'
  | 'groupStarted'
  | 'groupAborted'
  | 'groupDone'
  | 'runFailed'
  | 'runEndInferred'
  | 'runsOverlap'
  | 'runnerListed'
  | 'runnerDraining'
  | 'runnerUnlisted'
  | 'runnerRestarted'
  | 'entryContradicted'
  | 'runnerCrashed'
  | 'crashRetracted'
  | 'reportOutdated'
  | 'runnerQuarantined'
  | 'evacuationsChanged'
  | 'speedClassesChanged'
  | 'runnerLeasesExpired'
  | 'orphanStopped'
  | 'permitRefused';

/** Bounds of the platform's contract; times in milliseconds. */
export interface DispatchBounds {
  /** Longest time a task takes to stop. */
  readonly stopMs: number;
  /** Longest time from the arrival of a guaranteed job to its start. */
  readonly reclaimMs: number;
  /** Longest lease that a runner grants. */
  readonly maxLeaseMs: number;
  /**
   * Slowdown factor of a task outside the rack of its data, or of a gang spread over several racks.
   */
  readonly farSlowdown: number;
  /**
   * Longest time from the operator's request to evacuate a data centre until nothing is started
   * there any more; Infinity where no data centre is evacuated.
   */
  readonly evacuationMs: number;
}

/** Milliseconds before the bound of an evacuation at which an unconfirmed view counts as outdated. */
const evacuationMarginMs = 800;

/** Scheduling policy; may differ between deployments. */
export interface DispatchPolicy {
  /**
   * Maximum share of all accelerators that is kept free for urgent jobs. With a larger share, jobs
   * would wait while barely half of the service is used, which the service requirements forbid.
   */
  readonly headroomShare: number;
  /**
   * Maximum unsaved work that an urgent job may destroy, as a multiple of its own work. The service
   * requirements value urgent work at about four times the work it preempts, and preempted work
   * also has to be repeated.
   */
  readonly lostWorkRatio: number;
  /**
   * Core-seconds that even the smallest urgent job may destroy, because the service requirements
   * give each job a base value.
   */
  readonly lostWorkBase: number;
  /** Whether the speeds of runners are learned and influence placements. */
  readonly detectsSlowRunners: boolean;
  /** Order of waiting jobs in place of `compareRanks`, for comparisons in benchmarks. */
  readonly compareRanks?: (left: JobRank, right: JobRank) => number;
}

export const defaultPolicy: DispatchPolicy = {
  headroomShare: 0.35,
  lostWorkRatio: 1.5,
  lostWorkBase: 300,
  detectsSlowRunners: true,
};

/** State of all jobs and runners as known to the scheduling instance. */
export class DispatchState {
  public readonly jobs = new Map<string, JobRun>();

  /** Ids of jobs that are stored and cannot be read yet. */
  public heldJobs: { has(id: string): boolean } = new Set<string>();

  /** Jobs that have not ended. */
  public readonly openJobs = new Set<JobRun>();

  /** Task groups with reserved capacity. */
  public readonly reserved = new Set<TaskGroup>();

  public readonly runners = new Map<string, Runner>();

  public queues: ReadonlyMap<string, Queue> = new Map();

  public accounts: ReadonlyMap<string, Account> = new Map();

  /** Services whose runners do not check their capacity. */
  public unguardedServices: ReadonlySet<string> = new Set();

  /** Data centres that the operator evacuates. */
  public readonly evacuations: Evacuations;

  /** Runners whose machines are about to have their maintenance or have it, by id. */
  public maintenance: ReadonlyMap<string, PreparedRunner> = new Map();
  /** What the advice service has said about runners. */
  public readonly permits = new Permits();

  /** Whether a queue or an open job needs the advice service. */
  public usesAdvice = false;

  /** Monotonic time at which the latest listing of the runners was requested. */
  public listingRequestedAt = -Infinity;

  /** Speeds learned by the previous scheduling instance, by incarnation of the runner. */
  public readonly inheritedSpeeds = new Map<string, SpeedRecord>();

  public readonly speedClasses = new SpeedClasses();

  public readonly estimates = new DurationEstimates();

  public readonly urgentHeadroom = new UrgentHeadroom();

  public readonly urgentDemand = new UrgentDemand();

  /** Start commands issued since the last step of the dispatcher returned them. */
  public starts: StartCommand[] = [];

  /** Stop commands issued since the last step of the dispatcher returned them. */
  public stops: StopCommand[] = [];

  public constructor(
    public readonly bounds: DispatchBounds,
    public readonly log: DecisionLog,
    public readonly policy: DispatchPolicy,
    public readonly counters: RunCounters = new RunCounters(),
  ) {
    this.evacuations = new Evacuations(bounds.evacuationMs - evacuationMarginMs);
  }
}
