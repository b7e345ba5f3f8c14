import type { Placement, CapacityLedger, RunnerCapacity } from './CapacityLedger.js';
import { countFittingMembers, isEligible } from './CapacityLedger.js';
import type { TaskGroup } from './TaskGroup.js';

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
  public constructor(private readonly ledger: CapacityLedger) {}

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
      const local = findWithin(group, (this.ledger.byRack.get(dataRack) ?? []).filter(isAllowed));
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
    return findWithin(group, this.ledger.all.filter(isAllowed));
  }

  private findInOneRack(
    group: TaskGroup,
    isAllowed: (capacity: RunnerCapacity) => boolean,
  ): Placement | undefined {
    const isUrgent = group.job.queue.priority === 0;
    let best: Placement | undefined;
    let lowestSlowRank = Infinity;
    let leastRemaining = Infinity;
    this.ledger.byRack.forEach((capacities) => {
      const placement = findWithin(group, capacities.filter(isAllowed));
      if (placement === undefined) {
        return;
      }
      const remaining = capacities.reduce((sum, { free }) => sum + free.accelerators, 0);
      const placementSlowRank = isUrgent && this.hasSlowRunner(placement) ? 1 : 0;
      if (
        placementSlowRank < lowestSlowRank ||
        (placementSlowRank === lowestSlowRank && remaining < leastRemaining)
      ) {
        best = placement;
        lowestSlowRank = placementSlowRank;
        leastRemaining = remaining;
      }
    });
    return best;
  }

  private hasSlowRunner(placement: Placement): boolean {
    return [...placement.keys()].some((id) => this.ledger.runner(id)?.slowdown.isSlow === true);
  }
}

// Avoids runners on which the task group has failed if it fits elsewhere: its attempts are limited.
function findWithin(
  group: TaskGroup,
  capacities: readonly RunnerCapacity[],
): Placement | undefined {
  const preferred = capacities.filter(({ runner }) => !group.failedRunners.has(runner.id));
  const placement = placeWithin(group, preferred);
  return placement === undefined && preferred.length < capacities.length
    ? placeWithin(group, capacities)
    : placement;
}

function placeWithin(
  group: TaskGroup,
  capacities: readonly RunnerCapacity[],
): Placement | undefined {
  const compareForClass = group.job.queue.priority === 0 ? compareForUrgent : compareForOthers;
  const candidates = capacities
    .filter(({ runner }) => isEligible(group, runner))
    .map((capacity) => ({
      capacity,
      fitting: countFittingMembers(group, capacity.runner, capacity.free),
    }))
    .filter(({ fitting }) => fitting > 0)
    .sort(group.isSuspect ? compareForSuspect : compareForClass);
  const placement = new Map<string, number>();
  let missing = group.members.length;
  for (const { capacity, fitting } of candidates) {
    const count = Math.min(fitting, missing);
    placement.set(capacity.runner.id, count);
    missing -= count;
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
    compareForOthers(left, right)
  );
}

// Urgent task groups prefer fast runners because their objectives are tight; all others prefer slow
// runners and leave the fast ones to urgent work.
function compareForUrgent(left: Candidate, right: Candidate): number {
  return slowRank(left) - slowRank(right) || compareFullness(left, right);
}

function compareForOthers(left: Candidate, right: Candidate): number {
  return slowRank(right) - slowRank(left) || compareFullness(left, right);
}

function slowRank({ capacity }: Candidate): number {
  return capacity.runner.slowdown.isSlow ? 1 : 0;
}

// Sorts the runner with the least free capacity first.
function compareFullness(left: Candidate, right: Candidate): number {
  return (
    left.capacity.free.accelerators - right.capacity.free.accelerators ||
    left.capacity.free.cpu - right.capacity.free.cpu
  );
}
