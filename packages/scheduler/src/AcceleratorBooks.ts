import type { WorkerView } from './Capacity.js';
import { Capacity } from './Capacity.js';
import { AttemptState } from './charts.js';
import type { Attempt } from './Plan.js';
import { occupy, release } from './ReclaimSearch.js';

/** Which accelerators are held, and in what sense the others are available. */
export class AcceleratorBooks {
  /** All accelerators of the usable workers. */
  public readonly whole: Capacity;

  /** Accelerators that nothing holds. */
  public readonly free: Capacity;

  /** Accelerators that nothing holds, or only attempts that are being stopped. */
  public readonly soonFree: Capacity;

  /** Accelerators that are free or held by borrowers: what guarantees can count on. */
  public readonly promised: Capacity;

  /** Accelerators held by each account. */
  private readonly held = new Map<string, number>();

  public constructor(workers: readonly WorkerView[], attempts: readonly Attempt[]) {
    this.whole = Capacity.of(workers);
    this.free = this.whole.clone();
    this.soonFree = this.whole.clone();
    this.promised = this.whole.clone();
    attempts
      .filter((attempt) => attempt.state !== AttemptState.over)
      .forEach((attempt) => this.enter(withoutStopped(attempt)));
  }

  public heldBy(account: string): number {
    return this.held.get(account) ?? 0;
  }

  /** Enters an attempt that holds accelerators from now on. */
  public enter(attempt: Attempt): void {
    occupy(this.free, attempt);
    if (!isStopping(attempt)) {
      occupy(this.soonFree, attempt);
    }
    if (attempt.guarantee !== undefined) {
      this.cover(attempt);
    }
    this.held.set(attempt.account, this.heldBy(attempt.account) + acceleratorsHeld(attempt));
  }

  /** Notes that an attempt is being stopped: it holds its accelerators until it has ended. */
  public noteStopping(attempt: Attempt): void {
    release(this.soonFree, withoutStopped(attempt));
  }

  /** Takes what an attempt holds from what guarantees can count on. */
  public cover(attempt: Attempt): void {
    occupy(this.promised, attempt);
  }

  /** The opposite of `cover`: the attempt has become a borrower. */
  public uncover(attempt: Attempt): void {
    release(this.promised, withoutStopped(attempt));
  }
}

function isStopping(attempt: Attempt): boolean {
  return attempt.state === AttemptState.checkpointing || attempt.state === AttemptState.releasing;
}

function withoutStopped(attempt: Attempt): Attempt {
  return { ...attempt, tasks: attempt.tasks.filter((task) => !task.isStopped) };
}

function acceleratorsHeld(attempt: Attempt): number {
  return attempt.tasks.reduce((sum, task) => sum + (task.isStopped ? 0 : task.accelerators), 0);
}
