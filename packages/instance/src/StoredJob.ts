import type { LearnedState, JobSpecification, ProgressRecord, Queue } from '@apricothoist/dispatch';

/** Immutable record of a job, stored at its submission. */
export interface StoredJob {
  readonly specification: JobSpecification;
  /** Queue settings at the submission, used if the configuration no longer contains the queue. */
  readonly queue: Queue;
}

type StoredRecord = StoredJob | ProgressRecord | HolderRecord | LearnedState | StrongestCoresRecord;

/** Parses a stored record; returns undefined if it is malformed. */
export function parseRecord<T extends StoredRecord>(value: string | undefined): T | undefined {
  try {
    return value === undefined ? undefined : (JSON.parse(value) as T);
  } catch {
    // The caller logs the key of the malformed record.
    return undefined;
  }
}

/** Record of the instance that holds the leadership lease. */
export interface HolderRecord {
  readonly instance: string;
  /** `host:port` of its feed. */
  readonly feedAddress: string;
}

/** Record of the processing capacity of the strongest instance. */
export interface StrongestCoresRecord {
  readonly cores: number;
}
