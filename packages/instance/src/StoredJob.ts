import type { JobSpecification, Queue } from '@apricothoist/dispatch';

/** Immutable record of a job, stored at its submission. */
export interface StoredJob {
  readonly specification: JobSpecification;
  /** Queue settings at the submission, used if the configuration no longer contains the queue. */
  readonly queue: Queue;
}

/** Record of the instance that holds the leadership lease. */
export interface HolderRecord {
  readonly instance: string;
  /** `host:port` of its feed. */
  readonly feedAddress: string;
}

/** Record of the holder on a maintenance wave. */
export interface MaintenanceRecord {
  /** Store revision of the operator's request that the record is about. */
  readonly revision: number;
  /** Wall time in milliseconds by which every machine is to have had its maintenance. */
  readonly deadline: number;
  /** Machines that were called or are about to be, without a stored result, with their runners. */
  readonly called: readonly (readonly [machine: string, runnerId: string])[];
  /** Machines whose maintenance has begun. */
  readonly begun: readonly string[];
  /** Machines that are not part of the wave. */
  readonly refused: readonly string[];
  readonly isCompleted: boolean;
}

/** Record of the processing capacity of the strongest instance. */
export interface StrongestCoresRecord {
  readonly cores: number;
}
