import type { EndEvidence } from './EndEvidence.js';

/** A member of a task group after its last run. */
interface FormerMember {
  readonly runnerId: string | undefined;
  readonly endEvidence?: EndEvidence;
}

/** Log fields of the run before the one that starts; absent if there was none here. */
export interface FormerRun {
  /** Runners that the members were on. */
  readonly formerRunners?: string;
  /** What proved the ends of the members. */
  readonly formerEnds?: string;
}

export function describeFormerRun(members: readonly FormerMember[]): FormerRun {
  const ended = members.filter(({ endEvidence }) => endEvidence !== undefined);
  if (ended.length === 0) {
    return {};
  }
  const join = (values: readonly (string | undefined)[]): string => [...new Set(values)].join(',');
  return {
    formerRunners: join(ended.map(({ runnerId }) => runnerId)),
    formerEnds: join(ended.map(({ endEvidence }) => endEvidence)),
  };
}
