import type { Resources } from './Resources.js';

/** Tasks of one kind within a job. */
export interface Step {
  readonly count: number;
  readonly size: Resources;
  /** Declared duration of a task in milliseconds; often off by several times. */
  readonly declaredMs: number;
  /** Steps of the same job that have to be done first. */
  readonly after: readonly number[];
  /** All tasks start together and end together. */
  readonly isGang: boolean;
  /** Tasks slow down when they are spread over several racks. */
  readonly prefersOneRack: boolean;
  /** Rack that holds the data; tasks elsewhere slow down. */
  readonly dataRack?: string;
  /** Label that a runner must carry. */
  readonly requiredLabel?: string;
  /** Most tasks of this step on one runner. */
  readonly perRunnerLimit?: number;
  readonly savesProgress: boolean;
  /** Runs until the job is cancelled and is restarted however it ends. */
  readonly isLasting: boolean;
  /** Uses processor time that others leave over; its processor share is not counted. */
  readonly usesLeftover: boolean;
}

/** What a task of the step takes from its runner. */
export function roomOf(step: Step): Resources {
  return step.usesLeftover ? { ...step.size, cpu: 0 } : step.size;
}

/** A job as its client submitted it; it never changes afterwards. */
export interface JobSpecification {
  readonly id: string;
  /** Name of the queue that took it. */
  readonly queue: string;
  readonly account: string;
  /** Service whose runners run it. */
  readonly service: string;
  /** Opaque text handed to every task. */
  readonly payload: string;
  readonly steps: readonly Step[];
  /** How often the steps run. */
  readonly occurrences: number;
  readonly intervalMs: number;
  /** Wall time in milliseconds of the first occurrence; 0: at once. */
  readonly firstDueAt: number;
  /** Wall time in milliseconds of the acceptance. */
  readonly acceptedAt: number;
}

/** What the operators' configuration says of a queue. */
export interface Queue {
  readonly name: string;
  readonly service: string;
  /** 0 is the most urgent, and may take the place of others. */
  readonly priority: number;
  /** Failed runs after which a task is given up. */
  readonly maxAttempts: number;
  /** Objective: this many times the longest chain of work, plus `targetMs`. */
  readonly stretch: number;
  readonly targetMs: number;
}

/** A client account and the accelerators that it may always have for jobs of priority 0. */
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

/** Whether a job in this state has come to its end. */
export function isFinal(state: JobState): boolean {
  return state !== JobState.queued && state !== JobState.running;
}
