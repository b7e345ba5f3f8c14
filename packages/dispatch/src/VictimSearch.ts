import { msPerSecond } from '@apricothoist/common';

import type { Placement, RoomLedger, RunnerRoom } from './RoomLedger.js';
import { countPlaces, isEligible } from './RoomLedger.js';
import type { Resources } from './Resources.js';
import { add, clampToZero, coresOf, multiply, subtract } from './Resources.js';
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

/** The cheapest way to one more place on a runner. */
interface Opening {
  readonly runnerId: string;
  readonly victims: readonly Unit[];
  readonly cost: number;
}

/** Core-seconds that stopping a unit costs besides its unsaved work, per core: its restart. */
const restartSeconds = 0.5;

/** Core-seconds that are lost if the unit is stopped now; a stop saves what can be saved. */
export function unsavedWork(unit: Unit, now: number): number {
  const ranMs = unit.startedAt === 0 || unit.step.savesProgress ? 0 : now - unit.startedAt;
  return unit.cores * (Math.max(0, ranMs) / msPerSecond + restartSeconds);
}

/**
 * Chooses which running units make room for an urgent one: the group of runners (a rack, or all
 * of them) where the least unsaved work is lost.
 *
 * Load pattern: all accelerators are lent out to long jobs when urgent gangs of a few seconds
 * arrive. Places are opened one after the other, each where it costs least; a victim that spans
 * several runners opens places on all of them. Units that stop already count as room, so two urgent
 * gangs in a row do not stop twice as much as they need.
 */
export class VictimSearch {
  public constructor(
    private readonly ledger: RoomLedger,
    private readonly now: number,
    /** Whether `victim` may be stopped for the unit. */
    private readonly mayStop: (victim: Unit) => boolean,
    /** Most core-seconds that may be lost. */
    private readonly maxCost: number,
  ) {}

  /**
   * @param mayLeaveRack whether members may also run away from the rack of their data, or spread
   *   over racks, where they are slower
   */
  public find(unit: Unit, mayLeaveRack: boolean): Reclaim | undefined {
    const fast = ({ runner }: RunnerRoom): boolean => !runner.pace.isSlow;
    return this.findAmong(unit, mayLeaveRack, fast) ?? this.findAmong(unit, mayLeaveRack);
  }

  private findAmong(
    unit: Unit,
    mayLeaveRack: boolean,
    isWanted: (room: RunnerRoom) => boolean = () => true,
  ): Reclaim | undefined {
    const { dataRack, prefersOneRack } = unit.step;
    const { byRack, all } = this.ledger;
    if (dataRack !== undefined) {
      const near = this.searchWithin(unit, (byRack.get(dataRack) ?? []).filter(isWanted));
      if (near !== undefined || !mayLeaveRack) {
        return near?.reclaim;
      }
    }
    if (prefersOneRack && unit.members.length > 1) {
      const [first, ...others] = [...byRack.values()]
        .map((rooms) => this.searchWithin(unit, rooms.filter(isWanted)))
        .filter((search) => search !== undefined);
      if (first !== undefined || !mayLeaveRack) {
        return others.reduce((best, next) => (next.cost < (best?.cost ?? 0) ? next : best), first)
          ?.reclaim;
      }
    }
    return this.searchWithin(unit, all.filter(isWanted))?.reclaim;
  }

  private searchWithin(unit: Unit, rooms: readonly RunnerRoom[]): Search | undefined {
    const eligible = rooms.filter(({ runner }) => isEligible(unit, runner));
    const free = new Map<string, Resources>();
    eligible.forEach((room) => free.set(room.runner.id, futureRoom(room)));
    const victims = new Set<Unit>();
    const openings = new Map<string, Opening | undefined>();
    let cost = 0;
    let placement = placeIn(unit, eligible, free);
    while (placement === undefined) {
      const opening = this.cheapestOpening(unit, eligible, free, victims, openings);
      if (opening === undefined || cost + opening.cost > this.maxCost) {
        return undefined;
      }
      opening.victims.forEach((victim) => {
        victims.add(victim);
        addRoom(free, victim);
        victim.members.forEach(({ runnerId }) => openings.delete(runnerId ?? ''));
      });
      openings.delete(opening.runnerId);
      cost += opening.cost;
      placement = placeIn(unit, eligible, free);
    }
    return { reclaim: { placement, victims: [...victims] }, cost };
  }

  // `openings` keeps what was found for runners that no later choice has touched.
  private cheapestOpening(
    unit: Unit,
    rooms: readonly RunnerRoom[],
    free: ReadonlyMap<string, Resources>,
    chosen: ReadonlySet<Unit>,
    openings: Map<string, Opening | undefined>,
  ): Opening | undefined {
    let best: Opening | undefined;
    rooms.forEach(({ runner }) => {
      if (!openings.has(runner.id)) {
        openings.set(runner.id, this.openOn(unit, runner, free.get(runner.id), chosen));
      }
      const opening = openings.get(runner.id);
      if (opening !== undefined && opening.cost < (best?.cost ?? Infinity)) {
        best = opening;
      }
    });
    return best;
  }

  // Stops the units that are cheapest for what they free here until one more member fits, and
  // then spares those that turned out needless.
  private openOn(
    unit: Unit,
    runner: Runner,
    room: Resources | undefined,
    chosen: ReadonlySet<Unit>,
  ): Opening | undefined {
    if (room === undefined) {
      return undefined;
    }
    const wanted = countPlaces(unit, runner, room) + 1;
    if (wanted > unit.members.length) {
      return undefined;
    }
    const victims: Unit[] = [];
    let freed = room;
    const candidates = this.candidatesOn(runner, chosen);
    const most = candidates.reduce((sum, victim) => add(sum, sizeOn(victim, runner.id)), room);
    if (countPlaces(unit, runner, most) < wanted) {
      return undefined;
    }
    for (const victim of candidates) {
      if (countPlaces(unit, runner, freed) >= wanted) {
        break;
      }
      victims.push(victim);
      freed = add(freed, sizeOn(victim, runner.id));
    }
    if (countPlaces(unit, runner, freed) < wanted) {
      return undefined;
    }
    const needed = victims
      .slice()
      .reverse()
      .filter((victim) => {
        const without = subtract(freed, sizeOn(victim, runner.id));
        if (countPlaces(unit, runner, without) >= wanted) {
          freed = without;
          return false;
        }
        return true;
      });
    const cost = needed.reduce((sum, victim) => sum + unsavedWork(victim, this.now), 0);
    return { runnerId: runner.id, victims: needed, cost };
  }

  private candidatesOn(runner: Runner, chosen: ReadonlySet<Unit>): Unit[] {
    const units = new Set<Unit>();
    runner.occupants.forEach(({ unit }) => {
      const isActive = unit.phase === UnitPhase.ordered || unit.phase === UnitPhase.running;
      if (isActive && !chosen.has(unit) && this.mayStop(unit)) {
        units.add(unit);
      }
    });
    const priceOf = (unit: Unit): number =>
      unsavedWork(unit, this.now) / Math.max(1, coresOf(sizeOn(unit, runner.id)));
    return [...units].sort((left, right) => priceOf(left) - priceOf(right));
  }
}

// Room that is empty or becomes so by stops under way, less what others have reserved.
function futureRoom({ runner, free }: RunnerRoom): Resources {
  if (runner.stopping.accelerators === 0 && runner.stopping.cpu === 0) {
    return free;
  }
  return add(free, clampToZero(subtract(runner.stopping, runner.reserved)));
}

// What the unit takes on one runner.
function sizeOn(victim: Unit, runnerId: string): Resources {
  const count = victim.members.filter(
    (member) => member.runnerId === runnerId && member.state !== MemberState.over,
  ).length;
  return multiply(victim.size, count);
}

function addRoom(free: Map<string, Resources>, victim: Unit): void {
  new Set(victim.members.map((member) => member.runnerId)).forEach((runnerId) => {
    const room = runnerId === undefined ? undefined : free.get(runnerId);
    if (runnerId !== undefined && room !== undefined) {
      free.set(runnerId, add(room, sizeOn(victim, runnerId)));
    }
  });
}

/** Places all members into `free`, fullest runner first; undefined when they do not all fit. */
function placeIn(
  unit: Unit,
  rooms: readonly RunnerRoom[],
  free: ReadonlyMap<string, Resources>,
): Placement | undefined {
  const candidates = rooms
    .map(({ runner }) => {
      const room = free.get(runner.id);
      return { runner, room, places: room === undefined ? 0 : countPlaces(unit, runner, room) };
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
