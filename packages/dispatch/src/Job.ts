import type { Resources } from './Resources.js';

/** Identical tasks within a job. */
export interface Step {
  readonly count: number;
  readonly size: Resources;
  /** Declared duration of a task in milliseconds; often wrong by a factor of several. */
  readonly declaredMs: number;
  /** Indices of the steps of the same job that must be done first. */
  readonly after: readonly number[];
  /** All tasks start and end together. */
  readonly isGang: boolean;
  /** Tasks slow down when they are spread over several racks. */
  readonly prefersOneRack: boolean;
  /** Rack that holds the data; tasks on other racks are slower. */
  readonly dataRack?: string;
  /** Label that a runner must carry. */
  readonly requiredLabel?: string;
  /** Maximum number of tasks of this step on one runner. */
  readonly perRunnerLimit?: number;
  readonly savesProgress: boolean;
  /** Runs until the job is cancelled; restarted after every end, also a successful one. */
  readonly isLasting: boolean;
  /**
   * Number of tasks of a lasting step that maintenance may leave missing at once; without it there is
   * no bound.
   */
  readonly mayMiss?: number;
  /** Uses only processor time that other tasks leave idle; its processor share is not counted. */
  readonly usesLeftover: boolean;
}

/** Resources that a task of the step reserves on its runner. */
export function resourcesOf(step: Step): Resources {
  return step.usesLeftover ? { ...step.size, cpu: 0 } : step.size;
}

/** A job as submitted by its client; immutable. */
export interface JobSpecification {
  readonly id: string;
  /** Name of the queue that accepted the job. */
  readonly queue: string;
  readonly account: string;
  /** Service whose runners execute the job. */
  readonly service: string;
  /** Opaque text passed to every task. */
  readonly payload: string;
  readonly steps: readonly Step[];
  /** Number of times that all steps run. */
  readonly occurrences: number;
  readonly intervalMs: number;
  /** Wall time in milliseconds of the first occurrence; 0: immediately. */
  readonly firstDueAt: number;
  /** Wall time in milliseconds of the acceptance. */
  readonly acceptedAt: number;
}

/**
 * Times of the service that says which runners may run the steps of a queue, in milliseconds. It
 * answers `decisionMs` after the call plus `periodMs` for each runner named in it.
 */
export interface Advice {
  readonly decisionMs: number;
  readonly periodMs: number;
  /** Time for which an answer is valid. */
  readonly validityMs: number;
}

/** A queue of the operator configuration. */
export interface Queue {
  readonly name: string;
  readonly service: string;
  /** 0 is the most urgent and may preempt others. */
  readonly priority: number;
  /** Number of failed runs after which a task fails for good. */
  readonly maxAttempts: number;
  /** The objective is this multiple of the longest chain of steps, plus `targetMs`. */
  readonly stretch: number;
  readonly targetMs: number;
  /** Set where tasks start only on runners for which an advice service gives a permit. */
  readonly advice?: Advice;
}

/** A client account and the accelerators that it is guaranteed for jobs of priority 0. */
export interface Account {
  readonly name: string;
  readonly guaranteedAccelerators: number;
}

export const JobState = {
  queued: 'queued',
  running: 'running',
  completed: 'completed',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

/** Whether the state is final. */
export function isFinal(state: JobState): boolean {
  return state !== JobState.queued && state !== JobState.running;
}
