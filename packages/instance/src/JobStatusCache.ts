import type { Clock } from '@apricothoist/common';
import type { JobState, QueueStatus } from '@apricothoist/dispatch';
import { isFinal } from '@apricothoist/dispatch';

/** Update that the scheduling instance sends to its followers. */
export interface FeedUpdate {
  /** Whether the lease of the sender is in doubt; the update has nothing else then. */
  readonly isInDoubt?: boolean;
  /**
   * Whether this is a snapshot of all open jobs and all queues, or holds only those that changed.
   * The feed sends this field as `isWhole`.
   */
  readonly isWhole: boolean;
  readonly states: readonly (readonly [id: string, state: JobState])[];
  /** Cores of the strongest instance, the scheduling one included; 0 if unknown. */
  readonly strongestCores: number;
  /** Ids of jobs whose records were deleted; the feed sends this field as `forgotten`. */
  readonly forgotten: readonly string[];
  /** Queues with work, or whose status has been sent before. */
  readonly queues: readonly (readonly [queue: string, status: QueueStatus])[];
  /** Backlogs in milliseconds by priority; newer than those of the queues. */
  readonly backlogs?: readonly (readonly [priority: number, backlogMs: number])[];
  /** Accelerators of the largest runner; absent or 0 if unknown. */
  readonly largestRunner?: number;
  /** What the sender can do for the receiver; absent in updates of earlier versions. */
  readonly service?: HolderService;
}

/** Ability of the scheduling instance to store something for another instance. */
export interface HolderService {
  readonly isStoreReachable: boolean;
  /** Highest version of the requests that it serves. */
  readonly requestVersion: number;
}

/** Age in milliseconds beyond which the cache counts as stale; several update intervals. */
const maxFreshAgeMs = 1_500;
/** Ended jobs whose state is kept; older ones are read from the store. */
const maxEndedStates = 20_000;

/**
 * Job states and queue status as last received from the scheduling instance.
 *
 * Load pattern: all followers connect to a new scheduling instance at once. A snapshot has only open
 * jobs, so that it does not grow with the retention period; final states stay valid without it.
 */
export class JobStatusCache {
  private openStates = new Map<string, JobState>();

  private readonly endedStates = new Map<string, JobState>();

  private queues = new Map<string, QueueStatus>();

  private backlogs = new Map<number, number>();

  private largestRunner = 0;

  private updatedAt = -Infinity;

  /** Cores of the strongest instance as last received; 0 if unknown. */
  public strongestCores = 0;

  public constructor(private readonly clock: Clock) {}

  /** Whether the last update is recent. */
  public get isFresh(): boolean {
    return this.clock.monotonic() - this.updatedAt < maxFreshAgeMs;
  }

  public get size(): number {
    return this.openStates.size + this.endedStates.size;
  }

  /** Milliseconds since the last update. */
  public get ageMs(): number {
    return this.clock.monotonic() - this.updatedAt;
  }

  public stateOf(id: string): JobState | undefined {
    return this.endedStates.get(id) ?? this.openStates.get(id);
  }

  /** Status of a queue; that of a queue without work is known from the largest runner alone. */
  public queueStatusOf(queue: string): QueueStatus | undefined {
    const known = this.queues.get(queue);
    const { largestRunner } = this;
    if (known === undefined) {
      const idle = { pending: 0, backlogMs: 0, durationMs: 0, largestRunner };
      return largestRunner === 0 ? undefined : idle;
    }
    const backlogMs = this.backlogs.get(known.priority ?? 0) ?? known.backlogMs;
    return { ...known, backlogMs, largestRunner: largestRunner || known.largestRunner };
  }

  public snapshot(): FeedUpdate {
    return {
      isWhole: true,
      states: [...this.openStates],
      forgotten: [],
      queues: [...this.queues],
      strongestCores: this.strongestCores,
      backlogs: [...this.backlogs],
      largestRunner: this.largestRunner,
    };
  }

  public apply(update: FeedUpdate): void {
    if (update.isWhole) {
      this.openStates = new Map();
      this.queues = new Map();
      this.backlogs = new Map();
    }
    update.states.forEach(([id, state]) => this.recordState(id, state));
    update.forgotten.forEach((id) => {
      this.openStates.delete(id);
      this.endedStates.delete(id);
    });
    update.queues.forEach(([queue, queueStatus]) => this.queues.set(queue, queueStatus));
    update.backlogs?.forEach(([priority, backlogMs]) => this.backlogs.set(priority, backlogMs));
    this.strongestCores = update.strongestCores;
    this.largestRunner = update.largestRunner ?? this.largestRunner;
    this.updatedAt = this.clock.monotonic();
  }

  private recordState(id: string, state: JobState): void {
    if (!isFinal(state)) {
      this.openStates.set(id, state);
      return;
    }
    this.openStates.delete(id);
    this.endedStates.set(id, state);
    const [oldest] = this.endedStates.keys();
    if (this.endedStates.size > maxEndedStates && oldest !== undefined) {
      this.endedStates.delete(oldest);
    }
  }
}
