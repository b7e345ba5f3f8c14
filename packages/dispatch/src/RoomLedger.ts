import type { Runner } from './Runner.js';
import type { Resources } from './Resources.js';
import { countFitting, multiply, subtract } from './Resources.js';
import type { Unit } from './Unit.js';

/** Number of members by runner. */
export type Placement = ReadonlyMap<string, number>;

/** Room of one runner during a scheduling round. */
export interface RunnerRoom {
  readonly runner: Runner;
  free: Resources;
}

/** Room of all runners that may start something, kept up to date during a scheduling round. */
export class RoomLedger {
  private readonly rooms = new Map<string, RunnerRoom>();

  private readonly racks = new Map<string, RunnerRoom[]>();

  private readonly list: RunnerRoom[] = [];

  private emptyAccelerators = 0;

  public constructor(runners: Iterable<Runner>) {
    [...runners].forEach((runner) => {
      const room = { runner, free: runner.unreservedRoom };
      this.rooms.set(runner.id, room);
      this.list.push(room);
      this.emptyAccelerators += Math.max(0, room.free.accelerators);
      const { rack } = runner.listed;
      const members = this.racks.get(rack);
      if (members === undefined) {
        this.racks.set(rack, [room]);
      } else {
        members.push(room);
      }
    });
  }

  public get all(): readonly RunnerRoom[] {
    return this.list;
  }

  public runner(id: string): Runner | undefined {
    return this.rooms.get(id)?.runner;
  }

  public get byRack(): ReadonlyMap<string, readonly RunnerRoom[]> {
    return this.racks;
  }

  public get freeAccelerators(): number {
    return this.emptyAccelerators;
  }

  public take(unit: Unit, placement: Placement): void {
    placement.forEach((count, runnerId) => {
      const room = this.rooms.get(runnerId);
      if (room !== undefined) {
        this.emptyAccelerators -= Math.max(0, room.free.accelerators);
        room.free = subtract(room.free, multiply(unit.size, count));
        this.emptyAccelerators += Math.max(0, room.free.accelerators);
      }
    });
  }
}

/** Whether the unit's step may use this runner at all, room aside. */
export function isEligible(unit: Unit, runner: Runner): boolean {
  const { listed } = runner;
  const { requiredLabel } = unit.step;
  return (
    listed.service === unit.job.queue.service &&
    (requiredLabel === undefined || listed.labels.includes(requiredLabel))
  );
}

/** How many members of the unit fit into `free` on this runner. */
export function countPlaces(unit: Unit, runner: Runner, free: Resources): number {
  const fitting = Math.min(countFitting(unit.size, free), unit.members.length);
  const { perRunnerLimit } = unit.step;
  if (perRunnerLimit === undefined || fitting === 0) {
    return fitting;
  }
  return Math.max(0, Math.min(fitting, perRunnerLimit - runner.countOfStep(unit)));
}
