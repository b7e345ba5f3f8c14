import type { Experience, JobSpecification, ProgressRecord, Queue } from '@apricothoist/dispatch';

/** A job as it is stored at its acceptance; it never changes. */
export interface StoredJob {
  readonly specification: JobSpecification;
  /** The queue at the acceptance, for the time when the configuration drops it. */
  readonly queue: Queue;
}

/** Parses a record of our own; undefined if it is not readable. */
export function parseRecord<T extends StoredJob | ProgressRecord | HolderRecord | Experience>(
  value: string | undefined,
): T | undefined {
  try {
    return value === undefined ? undefined : (JSON.parse(value) as T);
  } catch {
    // The caller logs the key of the unreadable record.
    return undefined;
  }
}

/** Who schedules. */
export interface HolderRecord {
  readonly instance: string;
  /** `host:port` of its feed. */
  readonly feedAddress: string;
}
