import type { LearnedState, JobSpecification, ProgressRecord, Queue } from '@apricothoist/dispatch';

/** Immutable record of a job, stored at its submission. */
export interface StoredJob {
  readonly specification: JobSpecification;
  /** Queue settings at the submission, used if the configuration no longer contains the queue. */
  readonly queue: Queue;
}

/** Parses a stored record; returns undefined if it is malformed. */
export function parseRecord<T extends StoredJob | ProgressRecord | HolderRecord | LearnedState>(
  value: string | undefined,
): T | undefined {
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
