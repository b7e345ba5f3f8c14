import type { WorkerView } from './Capacity.js';
import { Capacity } from './Capacity.js';
import { AttemptState } from './charts.js';
import type { Attempt } from './Plan.js';
import { allocateTasks, releaseTasks } from './ReclaimSearch.js';

/** Tracks which accelerators are held, and several views of the available ones. */
export class AcceleratorUsage {
  /** All accelerators of the usable workers. */
  public readonly total: Capacity;

  /** Accelerators that no attempt holds. */
  public readonly free: Capacity;

  /** Accelerators that no attempt holds, or only attempts that are being stopped. */
  public readonly freeAfterStops: Capacity;

  /** Accelerators that are free or held by borrowers, so that guaranteed gangs can obtain them. */
  public readonly availableToGuarantees: Capacity;

  /** Accelerators held by each account. */
  private readonly held = new Map<string, number>();

  public constructor(workers: readonly WorkerView[], attempts: readonly Attempt[]) {
    this.total = Capacity.of(workers);
    this.free = this.total.clone();
    this.freeAfterStops = this.total.clone();
    this.availableToGuarantees = this.total.clone();
    attempts
      .filter((attempt) => attempt.state !== AttemptState.over)
      .forEach((attempt) => this.add(withoutStoppedTasks(attempt)));
  }

  public heldBy(account: string): number {
    return this.held.get(account) ?? 0;
  }

  /** Adds an attempt that holds its accelerators from now on. */
  public add(attempt: Attempt): void {
    allocateTasks(this.free, attempt);
    if (!isStopping(attempt)) {
      allocateTasks(this.freeAfterStops, attempt);
    }
    if (attempt.guarantee !== undefined) {
      this.addGuaranteed(attempt);
    }
    this.held.set(attempt.account, this.heldBy(attempt.account) + acceleratorsHeld(attempt));
  }

  /** Marks an attempt as being stopped. It holds its accelerators until it has ended. */
  public markStopping(attempt: Attempt): void {
    releaseTasks(this.freeAfterStops, withoutStoppedTasks(attempt));
  }

  /** Subtracts the accelerators of a guaranteed attempt from `availableToGuarantees`. */
  public addGuaranteed(attempt: Attempt): void {
    allocateTasks(this.availableToGuarantees, attempt);
  }

  /** Reverses `addGuaranteed` for an attempt that is a borrower again. */
  public removeGuaranteed(attempt: Attempt): void {
    releaseTasks(this.availableToGuarantees, withoutStoppedTasks(attempt));
  }
}

function isStopping(attempt: Attempt): boolean {
  return attempt.state === AttemptState.checkpointing || attempt.state === AttemptState.releasing;
}

function withoutStoppedTasks(attempt: Attempt): Attempt {
  return { ...attempt, tasks: attempt.tasks.filter((task) => !task.isStopped) };
}

function acceleratorsHeld(attempt: Attempt): number {
  return attempt.tasks.reduce((sum, task) => sum + (task.isStopped ? 0 : task.accelerators), 0);
}
