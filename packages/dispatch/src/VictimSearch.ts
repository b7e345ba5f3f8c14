import type { Placement, CapacityLedger, RunnerCapacity } from './CapacityLedger.js';
import { countFittingMembers, isEligible } from './CapacityLedger.js';
import type { RemainingRun } from './RemainingTime.js';
import type { Resources } from './Resources.js';
import { add, clampToZero, coresOf, multiply, subtract } from './Resources.js';
import type { Runner } from './Runner.js';
import type { TaskGroup } from './TaskGroup.js';
import { MemberState, TaskGroupPhase } from './TaskGroup.js';

/** The placement of a task group once `victims` have stopped. */
export interface ReclaimPlan {
  readonly placement: Placement;
  readonly victims: readonly TaskGroup[];
}

interface SearchResult {
  readonly plan: ReclaimPlan;
  /** Work lost by stopping the victims, in core-seconds. */
  readonly cost: number;
}

/** The cheapest set of victims that lets one more member fit on a runner. */
interface SlotOption {
  readonly runnerId: string;
  readonly victims: readonly TaskGroup[];
  readonly cost: number;
}

/**
 * Selects the running task groups to preempt for an urgent one, within the set of runners (one
 * rack, or all) where the least work is lost.
 *
 * Load pattern: long jobs use all accelerators when urgent gangs of a few seconds arrive. The
 * search is greedy: it frees capacity for one member at a time, on the runner where that costs
 * least. A victim that spans several runners frees capacity on all of them. Capacity of task groups
 * that are already stopping counts as free, so that two urgent gangs in a row do not preempt twice
 * as much as they need.
 */
export class VictimSearch {
  public constructor(
    private readonly ledger: CapacityLedger,
    /** Whether `victim` may be preempted for the task group. */
    private readonly mayPreempt: (victim: TaskGroup) => boolean,
    /** Cost of stopping a task group in core-seconds. */
    private readonly costOf: (victim: TaskGroup) => number,
    /** Maximum total cost of the victims in core-seconds. */
    private readonly maxCost: number,
    /** Speed of the runners that are searched first. */
    private readonly requiredSpeed: number,
    /** Expected remaining milliseconds of a victim. */
    private readonly remainingRun: RemainingRun,
  ) {}

  /**
   * @param mayLeaveRack whether members may also run outside the rack of their data or be spread
   *   over several racks, which slows them down
   */
  public find(group: TaskGroup, mayLeaveRack: boolean): ReclaimPlan | undefined {
    const isFast = ({ runner }: RunnerCapacity): boolean =>
      runner.speed.value >= this.requiredSpeed;
    return this.findAmong(group, mayLeaveRack, isFast) ?? this.findAmong(group, mayLeaveRack);
  }

  private findAmong(
    group: TaskGroup,
    mayLeaveRack: boolean,
    isAllowed: (capacity: RunnerCapacity) => boolean = () => true,
  ): ReclaimPlan | undefined {
    const { dataRack, prefersOneRack } = group.step;
    const { byRack, all } = this.ledger;
    if (dataRack !== undefined) {
      const local = this.searchWithin(group, (byRack.get(dataRack) ?? []).filter(isAllowed));
      if (local !== undefined || !mayLeaveRack) {
        return local?.plan;
      }
    }
    if (prefersOneRack && group.members.length > 1) {
      const [first, ...others] = [...byRack.values()]
        .map((capacities) => this.searchWithin(group, capacities.filter(isAllowed)))
        .filter((result) => result !== undefined);
      if (first !== undefined || !mayLeaveRack) {
        return others.reduce((best, next) => (next.cost < (best?.cost ?? 0) ? next : best), first)
          ?.plan;
      }
    }
    return this.searchWithin(group, all.filter(isAllowed))?.plan;
  }

  private searchWithin(
    group: TaskGroup,
    capacities: readonly RunnerCapacity[],
  ): SearchResult | undefined {
    const eligible = capacities.filter(({ runner }) => isEligible(group, runner));
    const free = new Map<string, Resources>();
    eligible.forEach((capacity) => free.set(capacity.runner.id, futureCapacity(capacity)));
    const victims = new Set<TaskGroup>();
    const slotOptions = new Map<string, SlotOption | undefined>();
    let cost = 0;
    let placement = fitMembers(group, eligible, free);
    while (placement === undefined) {
      const option = this.cheapestSlot(group, eligible, free, victims, slotOptions);
      if (option === undefined || cost + option.cost > this.maxCost) {
        return undefined;
      }
      option.victims.forEach((victim) => {
        victims.add(victim);
        addFreedCapacity(free, victim);
        victim.members.forEach(({ runnerId }) => slotOptions.delete(runnerId ?? ''));
      });
      slotOptions.delete(option.runnerId);
      cost += option.cost;
      placement = fitMembers(group, eligible, free);
    }
    return { plan: { placement, victims: [...victims] }, cost };
  }

  // `slotOptions` caches the result for each runner until a chosen victim changes its free
  // capacity.
  private cheapestSlot(
    group: TaskGroup,
    capacities: readonly RunnerCapacity[],
    free: ReadonlyMap<string, Resources>,
    chosen: ReadonlySet<TaskGroup>,
    slotOptions: Map<string, SlotOption | undefined>,
  ): SlotOption | undefined {
    let best: SlotOption | undefined;
    capacities.forEach(({ runner }) => {
      if (!slotOptions.has(runner.id)) {
        slotOptions.set(runner.id, this.findSlotOn(group, runner, free.get(runner.id), chosen));
      }
      const option = slotOptions.get(runner.id);
      if (option !== undefined && option.cost < (best?.cost ?? Infinity)) {
        best = option;
      }
    });
    return best;
  }

  // Adds victims in order of their cost per core freed on this runner until one more member fits,
  // then drops those that are not needed after all.
  private findSlotOn(
    group: TaskGroup,
    runner: Runner,
    available: Resources | undefined,
    chosen: ReadonlySet<TaskGroup>,
  ): SlotOption | undefined {
    if (available === undefined) {
      return undefined;
    }
    const wanted = countFittingMembers(group, runner, available) + 1;
    if (wanted > group.members.length) {
      return undefined;
    }
    const victims: TaskGroup[] = [];
    let freeAfterStops = available;
    const candidates = this.candidatesOn(runner, chosen);
    const freeAfterAll = candidates.reduce(
      (sum, victim) => add(sum, resourcesOn(victim, runner.id)),
      available,
    );
    if (countFittingMembers(group, runner, freeAfterAll) < wanted) {
      return undefined;
    }
    for (const victim of candidates) {
      if (countFittingMembers(group, runner, freeAfterStops) >= wanted) {
        break;
      }
      victims.push(victim);
      freeAfterStops = add(freeAfterStops, resourcesOn(victim, runner.id));
    }
    if (countFittingMembers(group, runner, freeAfterStops) < wanted) {
      return undefined;
    }
    const needed = victims
      .slice()
      .reverse()
      .filter((victim) => {
        const without = subtract(freeAfterStops, resourcesOn(victim, runner.id));
        if (countFittingMembers(group, runner, without) >= wanted) {
          freeAfterStops = without;
          return false;
        }
        return true;
      });
    const cost = needed.reduce((sum, victim) => sum + this.costOf(victim), 0);
    return { runnerId: runner.id, victims: needed, cost };
  }

  private candidatesOn(runner: Runner, chosen: ReadonlySet<TaskGroup>): TaskGroup[] {
    const groups = new Set<TaskGroup>();
    runner.occupants.forEach(({ group }) => {
      const isActive =
        group.phase === TaskGroupPhase.starting || group.phase === TaskGroupPhase.running;
      if (isActive && !chosen.has(group) && this.mayPreempt(group)) {
        groups.add(group);
      }
    });
    const costPerCore = (group: TaskGroup): number =>
      this.costOf(group) / Math.max(1, coresOf(resourcesOn(group, runner.id)));
    // Of victims that cost the same, the one that would occupy its capacity longest is stopped.
    return [...groups].sort(
      (left, right) =>
        costPerCore(left) - costPerCore(right) ||
        this.remainingRun(right) - this.remainingRun(left),
    );
  }
}

// Capacity that is free or will be once the stops in progress end, less what others have reserved.
function futureCapacity({ runner, free }: RunnerCapacity): Resources {
  if (runner.stopping.accelerators === 0 && runner.stopping.cpu === 0) {
    return free;
  }
  return add(free, clampToZero(subtract(runner.stopping, runner.reserved)));
}

// Resources that the task group uses on one runner.
function resourcesOn(victim: TaskGroup, runnerId: string): Resources {
  const count = victim.members.filter(
    (member) => member.runnerId === runnerId && member.state !== MemberState.ended,
  ).length;
  return multiply(victim.size, count);
}

function addFreedCapacity(free: Map<string, Resources>, victim: TaskGroup): void {
  new Set(victim.members.map((member) => member.runnerId)).forEach((runnerId) => {
    const capacity = runnerId === undefined ? undefined : free.get(runnerId);
    if (runnerId !== undefined && capacity !== undefined) {
      free.set(runnerId, add(capacity, resourcesOn(victim, runnerId)));
    }
  });
}

/** Assigns all members to `free`, fullest runner first; undefined if they do not all fit. */
function fitMembers(
  group: TaskGroup,
  capacities: readonly RunnerCapacity[],
  free: ReadonlyMap<string, Resources>,
): Placement | undefined {
  const candidates = capacities
    .map(({ runner }) => {
      const capacity = free.get(runner.id);
      return {
        runner,
        capacity,
        fitting: capacity === undefined ? 0 : countFittingMembers(group, runner, capacity),
      };
    })
    .filter(({ fitting }) => fitting > 0)
    .sort(
      (left, right) => (left.capacity?.accelerators ?? 0) - (right.capacity?.accelerators ?? 0),
    );
  const placement = new Map<string, number>();
  let missing = group.members.length;
  for (const { runner, fitting } of candidates) {
    const count = Math.min(fitting, missing);
    placement.set(runner.id, count);
    missing -= count;
    if (missing === 0) {
      return placement;
    }
  }
  return undefined;
}
