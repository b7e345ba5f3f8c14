import type { Placement, RoomLedger, RunnerRoom } from './RoomLedger.js';
import { countPlaces, isEligible } from './RoomLedger.js';
import type { Resources } from './Resources.js';
import { add, clampToZero, coresOf, subtract } from './Resources.js';
import type { Runner } from './Runner.js';
import type { Unit } from './Unit.js';
import { MemberState, UnitPhase } from './Unit.js';

/** Where a unit will run once `victims` have stopped. */
export interface Reclaim {
  readonly placement: Placement;
  readonly victims: readonly Unit[];
}

interface Search {
  readonly reclaim: Reclaim;
  /** Unsaved work of the victims in core-seconds. */
  readonly cost: number;
}

const msPerSecond = 1_000;

/** Core-seconds that are lost if the unit is stopped now. */
export function unsavedWork(unit: Unit, now: number): number {
  if (unit.startedAt === 0) {
    return 0;
  }
  const since = unit.step.savesProgress
    ? Math.max(unit.savedAt, unit.startedAt)
    : unit.startedAt;
  return (unit.cores * Math.max(0, now - since)) / msPerSecond;
}

/**
 * Chooses which running units make room for an urgent one: the group of runners (a rack, or all
 * of them) where the least unsaved work is lost.
 *
 * Load pattern: all accelerators are lent out to long jobs when urgent gangs of a few seconds
 * arrive. Units that stop already count as room, so two urgent gangs in a row do not stop twice as
 * much as they need.
 */
export class VictimSearch {
  public constructor(
    private readonly ledger: RoomLedger,
    private readonly now: number,
    /** Whether `victim` may be stopped for the unit. */
    private readonly mayStop: (victim: Unit) => boolean,
  ) {}

  public find(unit: Unit): Reclaim | undefined {
    const { dataRack, prefersOneRack } = unit.step;
    const nearest = dataRack === undefined ? undefined : this.ledger.byRack.get(dataRack);
    const near = nearest === undefined ? undefined : this.searchWithin(unit, nearest);
    if (near !== undefined) {
      return near.reclaim;
    }
    if (prefersOneRack && unit.members.length > 1) {
      const searches = [...this.ledger.byRack.values()]
        .map((rooms) => this.searchWithin(unit, rooms))
        .filter((search) => search !== undefined);
      const [first, ...others] = searches;
      if (first !== undefined) {
        return others.reduce((best, next) => (next.cost < best.cost ? next : best), first).reclaim;
      }
    }
    return this.searchWithin(unit, this.ledger.all)?.reclaim;
  }

  private searchWithin(unit: Unit, rooms: readonly RunnerRoom[]): Search | undefined {
    const eligible = rooms.filter(({ runner }) => isEligible(unit, runner));
    const free = new Map<string, Resources>();
    eligible.forEach((room) => free.set(room.runner.id, futureRoom(room)));
    const victims: Unit[] = [];
    let placement = placeIn(unit, eligible, free);
    const candidates = placement === undefined ? this.candidates(eligible) : [];
    for (const victim of candidates) {
      addRoom(free, victim);
      victims.push(victim);
      placement = placeIn(unit, eligible, free);
      if (placement !== undefined) {
        break;
      }
    }
    if (placement === undefined) {
      return undefined;
    }
    return this.withoutNeedless(unit, eligible, free, victims, placement);
  }

  // Cheapest first by lost work for each core that becomes free within the group.
  private candidates(rooms: readonly RunnerRoom[]): Unit[] {
    const freed = new Map<Unit, number>();
    rooms.forEach(({ runner }) => {
      runner.occupants.forEach(({ unit }) => {
        const isRunning = unit.phase === UnitPhase.ordered || unit.phase === UnitPhase.running;
        if (isRunning && this.mayStop(unit)) {
          freed.set(unit, (freed.get(unit) ?? 0) + coresOf(unit.size));
        }
      });
    });
    const prices = new Map<Unit, number>();
    freed.forEach((cores, unit) => {
      prices.set(unit, unsavedWork(unit, this.now) / Math.max(1, cores));
    });
    return [...freed.keys()].sort(
      (left, right) => (prices.get(left) ?? 0) - (prices.get(right) ?? 0),
    );
  }

  private withoutNeedless(
    unit: Unit,
    rooms: readonly RunnerRoom[],
    free: Map<string, Resources>,
    victims: readonly Unit[],
    found: Placement,
  ): Search {
    let placement = found;
    const needed = [...victims]
      .sort((left, right) => unsavedWork(right, this.now) - unsavedWork(left, this.now))
      .filter((victim) => {
        removeRoom(free, victim);
        const without = placeIn(unit, rooms, free);
        if (without === undefined) {
          addRoom(free, victim);
          return true;
        }
        placement = without;
        return false;
      });
    placement = placeIn(unit, rooms, free) ?? placement;
    const cost = needed.reduce((sum, victim) => sum + unsavedWork(victim, this.now), 0);
    return { reclaim: { placement, victims: needed }, cost };
  }
}

// Room that is empty or becomes so by stops under way, less what others have reserved.
function futureRoom({ runner, free }: RunnerRoom): Resources {
  if (runner.stopping.accelerators === 0 && runner.stopping.cpu === 0) {
    return free;
  }
  return add(free, clampToZero(subtract(runner.stopping, runner.reserved)));
}

function membersOn(victim: Unit, runnerId: string): number {
  return victim.members.filter(
    (member) => member.runnerId === runnerId && member.state !== MemberState.over,
  ).length;
}

function changeRoom(free: Map<string, Resources>, victim: Unit, change: typeof add): void {
  const runnerIds = new Set(victim.members.map((member) => member.runnerId));
  runnerIds.forEach((runnerId) => {
    const room = runnerId === undefined ? undefined : free.get(runnerId);
    if (runnerId === undefined || room === undefined) {
      return;
    }
    let changed = room;
    for (let count = membersOn(victim, runnerId); count > 0; count -= 1) {
      changed = change(changed, victim.size);
    }
    free.set(runnerId, changed);
  });
}

function addRoom(free: Map<string, Resources>, victim: Unit): void {
  changeRoom(free, victim, add);
}

function removeRoom(free: Map<string, Resources>, victim: Unit): void {
  changeRoom(free, victim, subtract);
}

/** Places all members into `free`, fullest runner first; undefined when they do not all fit. */
export function placeIn(
  unit: Unit,
  rooms: readonly RunnerRoom[],
  free: ReadonlyMap<string, Resources>,
): Placement | undefined {
  const candidates = rooms
    .map(({ runner }) => {
      const room = free.get(runner.id);
      return { runner, room, places: room === undefined ? 0 : placesFor(unit, runner, room) };
    })
    .filter(({ places }) => places > 0)
    .sort((left, right) => (left.room?.accelerators ?? 0) - (right.room?.accelerators ?? 0));
  const placement = new Map<string, number>();
  let missing = unit.members.length;
  for (const { runner, places } of candidates) {
    const count = Math.min(places, missing);
    placement.set(runner.id, count);
    missing -= count;
    if (missing === 0) {
      return placement;
    }
  }
  return undefined;
}

function placesFor(unit: Unit, runner: Runner, room: Resources): number {
  return countPlaces(unit, runner, room);
}
