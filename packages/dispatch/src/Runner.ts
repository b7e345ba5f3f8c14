import type { ListedRunner } from './ListedRunner.js';
import type { Resources } from './Resources.js';
import { add, clampToZero, noResources, subtract } from './Resources.js';
import { RunnerIdentity } from './RunnerIdentity.js';
import { RunnerSpeed } from './RunnerSpeed.js';
import type { StrayRun } from './StrayRun.js';
import type { Member, TaskGroup } from './TaskGroup.js';
import { MemberState, TaskGroupPhase } from './TaskGroup.js';

/** A task that runs on a runner, or that a start command may still start there. */
export interface Occupant {
  readonly group: TaskGroup;
  readonly member: Member;
  readonly run: number;
}

/** State of a runner as known to this scheduling instance. */
export class Runner {
  private readonly tasks = new Map<string, Occupant>();

  private readonly strayRuns = new Map<string, StrayRun>();

  private usedResources: Resources = noResources;

  /** Task groups with reserved capacity here, with their number of members. */
  public readonly reservations = new Map<TaskGroup, number>();

  /** Monotonic time of the last report. */
  public reportedAt = 0;

  /** Monotonic time at which the last received report was requested. */
  public reportRequestedAt = 0;

  /** Whether its current incarnation has accepted the fencing token of this scheduling instance. */
  public isFenced = false;

  /** Monotonic time at which its present incarnation became known. */
  public incarnationKnownAt = 0;

  /**
   * Whether the registry entry is that of a previous incarnation: the present one may be of another
   * kind.
   */
  public isEntryOutdated = false;

  /** Whether `leaseEnd` has to be computed anew, because a run with an unknown lease was seen. */
  public hasUnknownLease = false;

  /** Whether the runner's clock must be read again before a lease can be granted. */
  public isReportDue = false;

  /** Consecutive calls without a response. */
  public unansweredCalls = 0;

  /** Steady time after which no run with a lease granted so far can still run. */
  public leaseEnd = 0;

  /** Sequence number of the last processed end of a run. */
  public processedEndNumber = 0;

  /** Sequence numbers of ends that were processed beyond one that is held back. */
  public readonly laterEnds = new Set<number>();

  /** Whether the last report had ends of jobs that are not known yet; they must not be acknowledged. */
  public hasHeldEnds = false;

  /** Monotonic time before which no task is started there. */
  public quarantinedUntil = 0;

  /** Monotonic time before which a task that may crash the runner keeps it to itself. */
  public closedUntil = -Infinity;

  /** Fault indications since the last successful run. */
  public faultCount = 0;

  /** Whether the registry lists the runner. */
  public isListed = true;

  /** Incarnation that was seen draining: its end is a planned one; undefined if there is none. */
  public drainedIncarnation: number | undefined;

  /** Monotonic time from which a draining runner may be gone; Infinity while it stays. */
  public departsAt = Infinity;

  /** Lower bound of `departsAt`: the listing shows a drain later than it was announced. */
  public earliestDepartureAt = Infinity;

  /** Ids of jobs with runs that failed here since the last successful run. */
  public readonly failedJobs = new Set<string>();

  public readonly speed = new RunnerSpeed();

  public readonly identity: RunnerIdentity;

  public constructor(public listed: ListedRunner) {
    this.identity = new RunnerIdentity(listed);
  }

  /**
   * Applies an entry that describes the present incarnation.
   *
   * @param listedAt monotonic time of the request for the listing
   * @param formerListedAt that of the listing before
   * @returns whether the runner has begun to drain
   */
  public applyEntry(entry: ListedRunner, listedAt: number, formerListedAt: number): boolean {
    const beginsToDrain = entry.isDraining && !this.isDraining;
    if (beginsToDrain) {
      const remainingMs = entry.minRemainingMs ?? Infinity;
      this.departsAt = listedAt + remainingMs;
      this.earliestDepartureAt = formerListedAt + remainingMs;
    }
    if (entry.isDraining) {
      this.drainedIncarnation = entry.processStartedAt;
    } else {
      this.departsAt = Infinity;
      this.earliestDepartureAt = Infinity;
    }
    this.listed = entry;
    this.isEntryOutdated = false;
    return beginsToDrain;
  }

  public get id(): string {
    return this.listed.id;
  }

  /** Whether the present incarnation was seen draining, although its entry may not say so any more. */
  public get isLeaving(): boolean {
    return this.isDraining || this.drainedIncarnation === this.listed.processStartedAt;
  }

  public get isDraining(): boolean {
    return this.listed.isDraining;
  }

  /** Tasks by `task#run`. */
  public get occupants(): ReadonlyMap<string, Occupant> {
    return this.tasks;
  }

  public addOccupant(occupant: Occupant): void {
    const key = occupantKey(occupant.member.task, occupant.run);
    if (!this.tasks.has(key)) {
      this.tasks.set(key, occupant);
      this.usedResources = add(this.usedResources, occupant.group.size);
    }
  }

  public removeOccupant(task: string, run: number): void {
    const key = occupantKey(task, run);
    const occupant = this.tasks.get(key);
    if (occupant !== undefined) {
      this.tasks.delete(key);
      this.usedResources = subtract(this.usedResources, occupant.group.size);
    }
    if (this.tasks.size === 0) {
      this.closedUntil = -Infinity;
    }
  }

  /** Runs that no occupant stands for, by `task#run`. */
  public get strays(): ReadonlyMap<string, StrayRun> {
    return this.strayRuns;
  }

  public addStray(stray: StrayRun): void {
    const key = occupantKey(stray.task, stray.run);
    if (!this.strayRuns.has(key)) {
      this.strayRuns.set(key, stray);
      this.usedResources = add(this.usedResources, stray.group?.size ?? noResources);
    }
  }

  public removeStray(key: string): void {
    const stray = this.strayRuns.get(key);
    if (stray !== undefined) {
      this.strayRuns.delete(key);
      this.usedResources = subtract(this.usedResources, stray.group?.size ?? noResources);
    }
  }

  public get runningStrays(): StrayRun[] {
    return [...this.strayRuns.values()].filter(({ isRunning }) => isRunning);
  }

  /**
   * Whether a stray run forbids further starts here: a call may still start it, or it runs with an
   * unknown size because its job has ended.
   */
  public get isBlockedByStray(): boolean {
    return [...this.strayRuns.values()].some(
      ({ history, isRunning, group }) =>
        history.mayStillStart || (isRunning && group === undefined),
    );
  }

  /** Resources used by all occupants and stray runs, including those being stopped. */
  public get used(): Resources {
    return this.usedResources;
  }

  /** Resources of occupants that are being stopped. */
  public get stopping(): Resources {
    let sum = noResources;
    this.occupants.forEach(({ group, member }) => {
      if (group.phase === TaskGroupPhase.stopping || member.isStopRequested) {
        sum = add(sum, group.size);
      }
    });
    return sum;
  }

  /** Resources of all reservations. */
  public get reserved(): Resources {
    let sum = noResources;
    this.reservations.forEach((count, group) => {
      for (let index = 0; index < count; index += 1) {
        sum = add(sum, group.size);
      }
    });
    return sum;
  }

  /** Capacity that is free now. */
  public get freeCapacity(): Resources {
    return subtract(this.listed.capacity, this.used);
  }

  /** Free capacity minus the part of the reservations that stopping occupants will not cover. */
  public get unreservedCapacity(): Resources {
    if (this.reservations.size === 0) {
      return this.freeCapacity;
    }
    return subtract(this.freeCapacity, clampToZero(subtract(this.reserved, this.stopping)));
  }

  /** Whether nothing runs here, is to start here or has reserved capacity. */
  public get isEmpty(): boolean {
    return this.tasks.size === 0 && this.strayRuns.size === 0 && this.reservations.size === 0;
  }

  /** Number of tasks of the same step and occurrence that occupy this runner. */
  public countStepTasks(group: TaskGroup): number {
    const isSameStep = (other: TaskGroup | undefined): boolean =>
      other?.job === group.job &&
      other.stepIndex === group.stepIndex &&
      other.occurrence === group.occurrence;
    let count = 0;
    this.occupants.forEach((occupant) => {
      if (occupant.member.state !== MemberState.ended && isSameStep(occupant.group)) {
        count += 1;
      }
    });
    this.strayRuns.forEach((stray) => {
      if (isSameStep(stray.group)) {
        count += 1;
      }
    });
    return count;
  }
}

export function occupantKey(task: string, run: number): string {
  return `${task}#${run}`;
}
