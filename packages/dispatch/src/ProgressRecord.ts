import type { CrashRecord } from './CrashHistory.js';
import type { FailedRunRecord } from './FailedRuns.js';
import type { JobRun } from './JobRun.js';
import type { JobState } from './Job.js';
import type { TaskGroup } from './TaskGroup.js';
import { MemberState, TaskGroupPhase } from './TaskGroup.js';

/** Progress of a task group that is not done; runners are listed by member. */
export type TaskGroupRecord = readonly [
  key: string,
  run: number,
  failures: number,
  saved: string,
  runnerIds: readonly (string | null)[],
  /** Incarnations of these runners; absent in records of earlier versions. */
  processStarts?: readonly (number | null)[],
  /** Crashes by index of the member. */
  crashes?: readonly (readonly [index: number, record: CrashRecord])[],
];

/** Stored progress of a job, kept separately from the job itself. */
export interface ProgressRecord {
  readonly state: JobState;
  readonly hasStarted: boolean;
  readonly occurrences: number;
  /** Keys of the task groups that are done. */
  readonly done: readonly string[];
  /** Task groups that have been started and are not done; `units` is the stored field name. */
  readonly units: readonly TaskGroupRecord[];
  /**
   * Failed runs by key of the task group. Beside `units`, whose rows earlier versions read with a fixed
   * length; absent in their records, and where no run has failed.
   */
  readonly failedRuns?: readonly (readonly [key: string, runs: readonly FailedRunRecord[]])[];
}

/** A progress record as read from the store. */
export interface StoredProgress {
  readonly progress: ProgressRecord;
  readonly version: number;
  /** Steady time until which the previous scheduling instance may have extended leases. */
  readonly leasesExtendedUntil: number;
}

export function createProgressRecord(job: JobRun): ProgressRecord {
  const { state, hasStarted } = job;
  if (job.isEnded) {
    return { state, hasStarted, occurrences: 0, done: [], units: [] };
  }
  const groups = [...job.groups.values()];
  const openGroups = groups.filter((group) => group.phase !== TaskGroupPhase.done && group.run > 0);
  const failedRuns = openGroups
    .filter((group) => group.failures > 0)
    .map((group) => [group.key, group.failedRuns.records] as const);
  return {
    state,
    hasStarted,
    occurrences: job.createdOccurrences,
    done: groups.filter((group) => group.phase === TaskGroupPhase.done).map((group) => group.key),
    units: openGroups.map((group) => createGroupRecord(group)),
    ...(failedRuns.length === 0 ? {} : { failedRuns }),
  };
}

function createGroupRecord(group: TaskGroup): TaskGroupRecord {
  const placed = group.isActive
    ? group.members.map((member) => (member.state === MemberState.ended ? undefined : member))
    : [];
  const crashes = group.members.flatMap(({ index, crashes: history }) => {
    const record = history.toRecord();
    return record === undefined ? [] : [[index, record] as const];
  });
  return [
    group.key,
    group.run,
    group.failures,
    group.saved,
    placed.map((member) => member?.runnerId ?? null),
    placed.map((member) => (member?.runnerId === undefined ? null : member.processStartedAt)),
    crashes,
  ];
}
