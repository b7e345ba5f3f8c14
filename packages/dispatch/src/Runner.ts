import type { DispatchBounds } from './DispatchState.js';
import type { Resources } from './Resources.js';
import { add, clampToZero, noResources, subtract } from './Resources.js';
import { RunnerPace } from './RunnerPace.js';
import type { Member, Unit } from './Unit.js';
import { MemberState, UnitPhase } from './Unit.js';

/** A runner as the registry lists it. */
export interface ListedRunner {
  readonly id: string;
  /** `host:port` */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly isDraining: boolean;
  /** Least time in milliseconds that a draining runner still stays; absent: not said. */
  readonly staysForMs?: number;
  /** Start of this life of the runner, Unix milliseconds. */
  readonly bornAt: number;
}

/** A task on a runner, or one that an order may still bring there. */
export interface Occupant {
  readonly unit: Unit;
  readonly member: Member;
  readonly run: number;
}

/** Where a runner stands with this scheduler. */
export class Runner {
  private readonly tasks = new Map<string, Occupant>();

  private usedRoom: Resources = noResources;

  /** Units that have places kept here, with the number of places. */
  public readonly reservations = new Map<Unit, number>();

  /** Monotonic time of the last answer that told its runs. */
  public reportedAt = 0;

  /** Monotonic time at which the last answered report was asked for. */
  public askedAt = 0;

  /** Whether it has accepted the token of this scheduler in its current life. */
  public isFenced = false;

  /** Calls in a row without an answer. */
  public silentCalls = 0;

  /** Monotonic time after which nothing that was allowed to run there still runs. */
  public leaseEnd = 0;

  /** Last number of its list of ends that was processed. */
  public processedEnd = 0;

  /** Monotonic time before which nothing new starts there. */
  public heldBackUntil = 0;

  /** Bad signs in a row without a success. */
  public badSigns = 0;

  /** Whether the registry lists it. */
  public isListed = true;

  /** Monotonic time by which a draining runner may be gone; Infinity while it stays. */
  public leavesAt = Infinity;

  /** Units whose runs failed here since the last success. */
  public readonly failedJobs = new Set<string>();

  public readonly pace = new RunnerPace();

  public constructor(public listed: ListedRunner) {}

  public get id(): string {
    return this.listed.id;
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
      this.usedRoom = add(this.usedRoom, occupant.unit.size);
    }
  }

  public removeOccupant(task: string, run: number): void {
    const key = occupantKey(task, run);
    const occupant = this.tasks.get(key);
    if (occupant !== undefined) {
      this.tasks.delete(key);
      this.usedRoom = subtract(this.usedRoom, occupant.unit.size);
    }
  }

  /** Sum of all occupants, stopping ones included. */
  public get used(): Resources {
    return this.usedRoom;
  }

  /** Sum of occupants whose run is being ended. */
  public get stopping(): Resources {
    let sum = noResources;
    this.occupants.forEach(({ unit, member }) => {
      if (unit.phase === UnitPhase.stopping || member.isStopOrdered) {
        sum = add(sum, unit.size);
      }
    });
    return sum;
  }

  public get reserved(): Resources {
    let sum = noResources;
    this.reservations.forEach((count, unit) => {
      for (let place = 0; place < count; place += 1) {
        sum = add(sum, unit.size);
      }
    });
    return sum;
  }

  /** Room that is empty now. */
  public get room(): Resources {
    return subtract(this.listed.capacity, this.used);
  }

  /** Empty room that no reservation will need. */
  public get unreservedRoom(): Resources {
    if (this.reservations.size === 0) {
      return this.room;
    }
    return subtract(this.room, clampToZero(subtract(this.reserved, this.stopping)));
  }

  /** Tasks of the unit's step and occurrence that are here or have a place here. */
  public countOfStep(unit: Unit): number {
    let count = 0;
    this.occupants.forEach((occupant) => {
      const other = occupant.unit;
      if (
        occupant.member.state !== MemberState.over &&
        other.job === unit.job &&
        other.stepIndex === unit.stepIndex &&
        other.occurrence === unit.occurrence
      ) {
        count += 1;
      }
    });
    return count;
  }
}

/** Steady clocks of runners may run slow by this factor, as the platform's pages state. */
const slowClockFactor = 1.02;
/** Milliseconds added to a lease before it counts as over, for late timers of the runner. */
const leaseSlackMs = 150;

/** A call that extends the leases on the runner, or starts something there, leaves now. */
export function extendLease(runner: Runner, bounds: DispatchBounds, now: number): void {
  const lastsMs = bounds.maxLeaseMs * slowClockFactor + leaseSlackMs;
  runner.leaseEnd = Math.max(runner.leaseEnd, now + lastsMs);
}

export function occupantKey(task: string, run: number): string {
  return `${task}#${run}`;
}
