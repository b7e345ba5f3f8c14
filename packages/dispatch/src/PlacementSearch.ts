import type { Placement, CapacityLedger, RunnerCapacity } from './CapacityLedger.js';
import { countFittingMembers, isEligible } from './CapacityLedger.js';
import type { SpeedRequirement } from './SpeedRequirement.js';
import type { TaskGroup } from './TaskGroup.js';

/** Rank of placements that are too slow, above that of every adequate one. */
const tooSlowRank = 1_000;

/** A runner and the number of members that fit on it. */
interface Candidate {
  readonly capacity: RunnerCapacity;
  readonly fitting: number;
}

/**
 * Finds free capacity for all members of a task group, or for none.
 *
 * Load pattern: many narrow tasks beside gangs that need whole runners of one rack. Best-fit
 * packing places narrow tasks on the fullest runner that can hold them and gangs in the fullest
 * rack, which leaves whole runners and racks empty for the widest gangs.
 */
export class PlacementSearch {
  public constructor(
    private readonly ledger: CapacityLedger,
    private readonly speedRequirement: SpeedRequirement,
  ) {}

  /**
   * @param mayLeaveRack whether members may also run outside the rack of their data or be spread
   *   over several racks, which slows them down
   */
  public find(group: TaskGroup, mayLeaveRack: boolean): Placement | undefined {
    return this.findAmong(group, mayLeaveRack, () => true);
  }

  /** Finds capacity on runners without other tasks, for a task group that may crash its runners. */
  public findEmpty(group: TaskGroup, mayLeaveRack: boolean): Placement | undefined {
    return this.findAmong(group, mayLeaveRack, ({ runner }) => runner.isEmpty);
  }

  private findAmong(
    group: TaskGroup,
    mayLeaveRack: boolean,
    isAllowed: (capacity: RunnerCapacity) => boolean,
  ): Placement | undefined {
    const { dataRack, prefersOneRack } = group.step;
    if (dataRack !== undefined) {
      const local = this.findWithin(
        group,
        (this.ledger.byRack.get(dataRack) ?? []).filter(isAllowed),
      );
      if (local !== undefined || !mayLeaveRack) {
        return local;
      }
    }
    if (prefersOneRack && group.members.length > 1) {
      const packed = this.findInOneRack(group, isAllowed);
      if (packed !== undefined || !mayLeaveRack) {
        return packed;
      }
    }
    return this.findWithin(group, this.ledger.all.filter(isAllowed));
  }

  private findInOneRack(
    group: TaskGroup,
    isAllowed: (capacity: RunnerCapacity) => boolean,
  ): Placement | undefined {
    let best: Placement | undefined;
    let lowestSpeedRank = Infinity;
    let leastRemaining = Infinity;
    this.ledger.byRack.forEach((capacities) => {
      const placement = this.findWithin(group, capacities.filter(isAllowed));
      if (placement === undefined) {
        return;
      }
      const remaining = capacities.reduce((sum, { free }) => sum + free.accelerators, 0);
      const placementSpeedRank = this.speedRank(group, placement);
      if (
        placementSpeedRank < lowestSpeedRank ||
        (placementSpeedRank === lowestSpeedRank && remaining < leastRemaining)
      ) {
        best = placement;
        lowestSpeedRank = placementSpeedRank;
        leastRemaining = remaining;
      }
    });
    return best;
  }

  // Lower is better. A gang is as fast as its slowest member. Of the placements on which work
  // meets its objective, urgent work takes the fastest, since its duration is uncertain, and other
  // work the slowest. If there is none, the fastest is best.
  private speedRank(group: TaskGroup, placement: Placement): number {
    if (!this.speedRequirement.isUneven) {
      return 0;
    }
    let slowest = Infinity;
    placement.forEach((_count, id) => {
      slowest = Math.min(slowest, this.ledger.runner(id)?.speed.value ?? 1);
    });
    if (slowest < this.speedRequirement.of(group)) {
      return tooSlowRank - slowest;
    }
    return group.job.queue.priority === 0 ? -slowest : slowest;
  }

  // Avoids runners on which the task group has failed if it fits elsewhere: its attempts are limited.
  private findWithin(
    group: TaskGroup,
    capacities: readonly RunnerCapacity[],
  ): Placement | undefined {
    const preferred = capacities.filter(({ runner }) => !group.failedRuns.hasFailedOn(runner.id));
    const placement = this.placeWithin(group, preferred);
    return placement === undefined && preferred.length < capacities.length
      ? this.placeWithin(group, capacities)
      : placement;
  }

  private placeWithin(
    group: TaskGroup,
    capacities: readonly RunnerCapacity[],
  ): Placement | undefined {
    const candidates = capacities
      .filter(({ runner }) => isEligible(group, runner))
      .map((capacity) => ({
        capacity,
        fitting: countFittingMembers(group, capacity.runner, capacity.free),
      }))
      .filter(({ fitting }) => fitting > 0)
      .sort(group.isSuspect ? compareForSuspect : compareFullness);
    const count = group.members.length;
    return this.speedRequirement.isUneven && !group.isSuspect
      ? this.assignBySpeed(group, candidates)
      : assign(count, candidates);
  }

  // Members of a gang on runners of like speed, since faster ones would wait for the slowest.
  private assignBySpeed(group: TaskGroup, candidates: readonly Candidate[]): Placement | undefined {
    const count = group.members.length;
    const total = candidates.reduce((sum, { fitting }) => sum + fitting, 0);
    if (total < count) {
      return undefined;
    }
    const required = this.speedRequirement.of(group);
    const { levels } = this.speedRequirement;
    const adequate = levels.filter((level) => level >= required);
    const tooSlow = levels.filter((level) => level < required).reverse();
    const isUrgent = group.job.queue.priority === 0;
    for (const level of isUrgent ? [...adequate].reverse() : adequate) {
      const alike = candidates.filter(({ capacity }) => capacity.runner.speed.value === level);
      const placement = assign(count, alike);
      if (placement !== undefined) {
        return placement;
      }
    }
    const slowestFirst = [...candidates].sort(compareSpeed);
    for (const level of [required, ...tooSlow]) {
      const allowed = slowestFirst.filter(({ capacity }) => capacity.runner.speed.value >= level);
      const placement = assign(count, allowed);
      if (placement !== undefined) {
        return placement;
      }
    }
    return undefined;
  }
}

/** Assigns members to the candidates in their order; undefined if they do not all fit. */
function assign(count: number, candidates: readonly Candidate[]): Placement | undefined {
  const placement = new Map<string, number>();
  let missing = count;
  for (const { capacity, fitting } of candidates) {
    const assigned = Math.min(fitting, missing);
    placement.set(capacity.runner.id, assigned);
    missing -= assigned;
    if (missing === 0) {
      return placement;
    }
  }
  return undefined;
}

// A crash ends everything on the runner.
function compareForSuspect(left: Candidate, right: Candidate): number {
  return (
    left.capacity.runner.occupants.size - right.capacity.runner.occupants.size ||
    compareFullness(left, right)
  );
}

function compareSpeed(left: Candidate, right: Candidate): number {
  return left.capacity.runner.speed.value - right.capacity.runner.speed.value;
}

// Sorts the runner with the least free capacity first.
function compareFullness(left: Candidate, right: Candidate): number {
  return (
    left.capacity.free.accelerators - right.capacity.free.accelerators ||
    left.capacity.free.cpu - right.capacity.free.cpu
  );
}
