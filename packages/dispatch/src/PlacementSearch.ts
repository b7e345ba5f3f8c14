import type { Placement, RoomLedger, RunnerRoom } from './RoomLedger.js';
import { countPlaces, isEligible } from './RoomLedger.js';
import type { Unit } from './Unit.js';

/** A runner with the number of members that fit there. */
interface Candidate {
  readonly room: RunnerRoom;
  readonly places: number;
}

/**
 * Finds empty places for a unit, all of its members or none.
 *
 * Load pattern: many narrow tasks beside gangs that need whole runners of one rack. Narrow tasks
 * go to the fullest runner that still takes them, and gangs to the fullest rack, so that empty
 * runners and racks stay together for the widest gangs.
 */
export class PlacementSearch {
  public constructor(private readonly ledger: RoomLedger) {}

  /**
   * @param mayLeaveRack whether members may also run away from the rack of their data, or spread
   *   over racks, where they are slower
   */
  public find(unit: Unit, mayLeaveRack: boolean): Placement | undefined {
    const { dataRack, prefersOneRack } = unit.step;
    if (dataRack !== undefined) {
      const near = findWithin(unit, this.ledger.byRack.get(dataRack) ?? []);
      if (near !== undefined || !mayLeaveRack) {
        return near;
      }
    }
    if (prefersOneRack && unit.members.length > 1) {
      const packed = this.findInOneRack(unit);
      if (packed !== undefined || !mayLeaveRack) {
        return packed;
      }
    }
    return findWithin(unit, this.ledger.all);
  }

  private findInOneRack(unit: Unit): Placement | undefined {
    const isUrgent = unit.job.queue.priority === 0;
    let best: Placement | undefined;
    let leastSlow = Infinity;
    let leastLeft = Infinity;
    this.ledger.byRack.forEach((rooms) => {
      const placement = findWithin(unit, rooms);
      if (placement === undefined) {
        return;
      }
      const left = rooms.reduce((sum, { free }) => sum + free.accelerators, 0);
      const slow = isUrgent && this.hasSlow(placement) ? 1 : 0;
      if (slow < leastSlow || (slow === leastSlow && left < leastLeft)) {
        best = placement;
        leastSlow = slow;
        leastLeft = left;
      }
    });
    return best;
  }

  private hasSlow(placement: Placement): boolean {
    return [...placement.keys()].some((id) => this.ledger.runner(id)?.pace.isSlow === true);
  }
}

// Runners where the unit failed are left out while it fits elsewhere: it has few attempts.
function findWithin(unit: Unit, rooms: readonly RunnerRoom[]): Placement | undefined {
  const sound = rooms.filter(({ runner }) => !unit.failedRunners.has(runner.id));
  const placement = placeWithin(unit, sound);
  return placement === undefined && sound.length < rooms.length
    ? placeWithin(unit, rooms)
    : placement;
}

function placeWithin(unit: Unit, rooms: readonly RunnerRoom[]): Placement | undefined {
  const isUrgent = unit.job.queue.priority === 0;
  const candidates = rooms
    .filter(({ runner }) => isEligible(unit, runner))
    .map((room) => ({ room, places: countPlaces(unit, room.runner, room.free) }))
    .filter(({ places }) => places > 0)
    .sort(isUrgent ? compareForUrgent : compareForOthers);
  const placement = new Map<string, number>();
  let missing = unit.members.length;
  for (const { room, places } of candidates) {
    const count = Math.min(places, missing);
    placement.set(room.runner.id, count);
    missing -= count;
    if (missing === 0) {
      return placement;
    }
  }
  return undefined;
}

// Urgent work has little time to lose on slow runners, and other work leaves it the fast ones.
function compareForUrgent(left: Candidate, right: Candidate): number {
  return slowRank(left) - slowRank(right) || compareFullness(left, right);
}

function compareForOthers(left: Candidate, right: Candidate): number {
  return slowRank(right) - slowRank(left) || compareFullness(left, right);
}

function slowRank({ room }: Candidate): number {
  return room.runner.pace.isSlow ? 1 : 0;
}

// The fullest runner comes first.
function compareFullness(left: Candidate, right: Candidate): number {
  return (
    left.room.free.accelerators - right.room.free.accelerators ||
    left.room.free.cpu - right.room.free.cpu
  );
}
