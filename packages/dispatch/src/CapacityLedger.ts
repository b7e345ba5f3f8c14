import type { Runner } from './Runner.js';
import type { Resources } from './Resources.js';
import { countFitting, multiply, noResources, subtract } from './Resources.js';
import type { TaskGroup } from './TaskGroup.js';

/** Number of members by runner id. */
export type Placement = ReadonlyMap<string, number>;

/** Free capacity of one runner during a scheduling round. */
export interface RunnerCapacity {
  readonly runner: Runner;
  free: Resources;
}

/** Free capacity of all usable runners, updated with each allocation during a scheduling round. */
export class CapacityLedger {
  private readonly byRunner = new Map<string, RunnerCapacity>();

  private readonly racks = new Map<string, RunnerCapacity[]>();

  private readonly list: RunnerCapacity[] = [];

  private totalFreeAccelerators = 0;

  public constructor(runners: Iterable<Runner>) {
    [...runners].forEach((runner) => {
      const capacity = { runner, free: runner.unreservedCapacity };
      this.byRunner.set(runner.id, capacity);
      this.list.push(capacity);
      this.totalFreeAccelerators += Math.max(0, capacity.free.accelerators);
      const { rack } = runner.listed;
      const inRack = this.racks.get(rack);
      if (inRack === undefined) {
        this.racks.set(rack, [capacity]);
      } else {
        inRack.push(capacity);
      }
    });
  }

  public get all(): readonly RunnerCapacity[] {
    return this.list;
  }

  public runner(id: string): Runner | undefined {
    return this.byRunner.get(id)?.runner;
  }

  public get byRack(): ReadonlyMap<string, readonly RunnerCapacity[]> {
    return this.racks;
  }

  public get freeAccelerators(): number {
    return this.totalFreeAccelerators;
  }

  /** Keeps a runner out of the rest of the round. */
  public close(runnerId: string): void {
    const capacity = this.byRunner.get(runnerId);
    if (capacity !== undefined) {
      this.totalFreeAccelerators -= Math.max(0, capacity.free.accelerators);
      capacity.free = noResources;
    }
  }

  public allocate(group: TaskGroup, placement: Placement): void {
    placement.forEach((count, runnerId) => {
      const capacity = this.byRunner.get(runnerId);
      if (capacity !== undefined) {
        this.totalFreeAccelerators -= Math.max(0, capacity.free.accelerators);
        capacity.free = subtract(capacity.free, multiply(group.size, count));
        this.totalFreeAccelerators += Math.max(0, capacity.free.accelerators);
      }
    });
  }
}

/**
 * Whether the task group may run on this runner, regardless of free capacity. A queue with advice
 * needs a permit that is valid in this scheduling round.
 */
export function isEligible(group: TaskGroup, runner: Runner): boolean {
  return (
    (group.job.queue.advice === undefined || group.permits?.has(runner.id) === true) &&
    isEligibleByRequirements(group, runner)
  );
}

/** Whether the runner has what the step requires, permits aside. */
export function isEligibleByRequirements(group: TaskGroup, runner: Runner): boolean {
  const { listed } = runner;
  const { requiredLabel } = group.step;
  return (
    listed.service === group.job.queue.service &&
    (requiredLabel === undefined || listed.labels.includes(requiredLabel))
  );
}

/** Number of members of the task group that fit into `free` on this runner. */
export function countFittingMembers(group: TaskGroup, runner: Runner, free: Resources): number {
  const fitting = Math.min(countFitting(group.size, free), group.members.length);
  const { perRunnerLimit } = group.step;
  if (perRunnerLimit === undefined || fitting === 0) {
    return fitting;
  }
  return Math.max(0, Math.min(fitting, perRunnerLimit - runner.countStepTasks(group)));
}
