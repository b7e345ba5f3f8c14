import type { Clock } from '@apricothoist/common';
import type { JobState, QueueOutlook } from '@apricothoist/dispatch';

/** News from the scheduling instance. */
export interface BoardUpdate {
  /** Whether this holds all jobs and queues, or only those that changed. */
  readonly isWhole: boolean;
  readonly states: readonly (readonly [id: string, state: JobState])[];
  /** Cores of the strongest instance, the scheduling one included; 0: not known. */
  readonly strongestCores: number;
  /** Jobs whose records are deleted. */
  readonly forgotten: readonly string[];
  readonly queues: readonly (readonly [queue: string, outlook: QueueOutlook])[];
}

/** Milliseconds after which news without a follow-up counts as old; several times its interval. */
const freshMs = 1_500;

/** Jobs and queues as the scheduling instance last told. */
export class JobBoard {
  private states = new Map<string, JobState>();

  private queues = new Map<string, QueueOutlook>();

  private heardAt = -Infinity;

  /** Cores of the strongest instance as last told; 0: not known. */
  public strongestCores = 0;

  public constructor(private readonly clock: Clock) {}

  /** Whether the news is recent. */
  public get isFresh(): boolean {
    return this.clock.monotonic() - this.heardAt < freshMs;
  }

  public get size(): number {
    return this.states.size;
  }

  /** Milliseconds since the last news. */
  public get ageMs(): number {
    return this.clock.monotonic() - this.heardAt;
  }

  public stateOf(id: string): JobState | undefined {
    return this.states.get(id);
  }

  public outlookOf(queue: string): QueueOutlook | undefined {
    return this.queues.get(queue);
  }

  public snapshot(): BoardUpdate {
    return {
      isWhole: true,
      states: [...this.states],
      forgotten: [],
      queues: [...this.queues],
      strongestCores: this.strongestCores,
    };
  }

  public apply(update: BoardUpdate): void {
    if (update.isWhole) {
      this.states = new Map();
      this.queues = new Map();
    }
    update.states.forEach(([id, state]) => this.states.set(id, state));
    update.forgotten.forEach((id) => this.states.delete(id));
    update.queues.forEach(([queue, outlook]) => this.queues.set(queue, outlook));
    this.strongestCores = update.strongestCores;
    this.heardAt = this.clock.monotonic();
  }
}
