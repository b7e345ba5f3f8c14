import type { JobRun } from './JobRun.js';
import type { JobState } from './Job.js';
import type { Unit } from './Unit.js';
import { MemberState, UnitPhase } from './Unit.js';

/** Progress of one unit that is not done: key, run, failures, saved progress, runner by member. */
export type UnitRecord = readonly [
  key: string,
  run: number,
  failures: number,
  saved: string,
  runnerIds: readonly (string | null)[],
];

/** What the store keeps of a job's progress, beside the job itself. */
export interface ProgressRecord {
  readonly state: JobState;
  readonly hasStarted: boolean;
  readonly occurrences: number;
  /** Keys of the units that are done. */
  readonly done: readonly string[];
  readonly units: readonly UnitRecord[];
}

export function recordProgress(job: JobRun): ProgressRecord {
  const { state, hasStarted } = job;
  if (job.isOver) {
    return { state, hasStarted, occurrences: 0, done: [], units: [] };
  }
  const units = [...job.units.values()];
  return {
    state,
    hasStarted,
    occurrences: job.createdOccurrences,
    done: units.filter((unit) => unit.phase === UnitPhase.done).map((unit) => unit.key),
    units: units
      .filter((unit) => unit.phase !== UnitPhase.done && unit.run > 0)
      .map((unit) => recordUnit(unit)),
  };
}

function recordUnit(unit: Unit): UnitRecord {
  const runnerIds = unit.isActive
    ? unit.members.map((member) =>
        member.state === MemberState.over ? null : (member.runnerId ?? null),
      )
    : [];
  return [unit.key, unit.run, unit.failures, unit.saved, runnerIds];
}
