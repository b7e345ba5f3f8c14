import type { DurationEstimates } from './DurationEstimates.js';
import type { Runner } from './Runner.js';
import type { Member, TaskGroup } from './TaskGroup.js';
import { MemberState } from './TaskGroup.js';

const completePercent = 100;
/** Range of progress in percent from which the total duration of a task can be projected. */
const representativePercent = { from: 20, to: 99 };
/**
 * Expected remaining time of a run near its estimate, as a share of the time that it has run. Of
 * durations that are log-normal with a deviation of 0.35, those above the median exceed it by 0.35.
 */
const nearTailShare = 0.35;
/**
 * The same from twice the estimate. Beyond it, mostly the tasks are left that take seven times as
 * long.
 */
const farTailShare = 1;

/** Returns the expected remaining milliseconds of a task group. */
export type RemainingRun = (group: TaskGroup) => number;

/** What expected durations are derived from. */
export interface RunKnowledge {
  readonly estimates: DurationEstimates;
  readonly runners: ReadonlyMap<string, Runner>;
}

/** Speed of the slowest runner of the task group; 1 if it has none. */
export function slowestSpeed({ members }: TaskGroup, runners: ReadonlyMap<string, Runner>): number {
  let slowest = Infinity;
  members.forEach(({ runnerId }) => {
    const runner = runnerId === undefined ? undefined : runners.get(runnerId);
    slowest = Math.min(slowest, runner?.speed.value ?? 1);
  });
  return slowest;
}

/** Whether the duration of the task can be projected from its reported progress. */
function isRepresentative({ percent, originPercent }: Member): boolean {
  return (
    percent - originPercent >= representativePercent.from && percent <= representativePercent.to
  );
}

/** Projected milliseconds of a task from its beginning to its end; undefined if not known yet. */
export function projectedTaskMs(group: TaskGroup, member: Member): number | undefined {
  if (group.startedAt === 0 || !isRepresentative(member)) {
    return undefined;
  }
  const elapsedMs = member.progressedAt - (member.originAt || group.startedAt);
  return (elapsedMs * completePercent) / (member.percent - member.originPercent);
}

/**
 * Expected remaining milliseconds of the run of a task group, or of its whole run before it starts.
 *
 * Load pattern: declared durations are wrong by a factor of up to ten, and three in a hundred tasks
 * take seven times as long. The reported progress takes precedence over the estimate; without it,
 * the longer a group has run beyond its estimate, the longer it is expected to run.
 */
export function remainingRunMs(
  group: TaskGroup,
  { estimates, runners }: RunKnowledge,
  now: number,
): number {
  let leftMs = 0;
  let unknownFrom = Infinity;
  group.members.forEach((member) => {
    if (member.state === MemberState.ended) {
      return;
    }
    const reportedMs = reportedRemainingMs(group, member, now);
    if (reportedMs === undefined) {
      unknownFrom = Math.min(unknownFrom, member.originPercent);
    } else {
      leftMs = Math.max(leftMs, reportedMs);
    }
  });
  if (unknownFrom === Infinity) {
    return leftMs;
  }
  const fullMs = estimates.estimate(group.job.queue.name, group.step);
  const expectedMs =
    (fullMs * (completePercent - unknownFrom)) / completePercent / slowestSpeed(group, runners);
  const ranMs = group.startedAt === 0 ? 0 : now - group.startedAt;
  const tailMs = group.step.isLasting ? 0 : tailAfter(ranMs, expectedMs);
  return Math.max(leftMs, expectedMs - ranMs, tailMs);
}

function reportedRemainingMs(group: TaskGroup, member: Member, now: number): number | undefined {
  if (group.step.isLasting) {
    return undefined;
  }
  if (member.percent > representativePercent.to) {
    return 0;
  }
  const projectedMs = projectedTaskMs(group, member);
  if (projectedMs === undefined) {
    return undefined;
  }
  const leftMs = (projectedMs * (completePercent - member.percent)) / completePercent;
  return Math.max(0, leftMs - (now - member.progressedAt));
}

function tailAfter(ranMs: number, expectedMs: number): number {
  const excess = Math.min(1, Math.max(0, ranMs / Math.max(1, expectedMs) - 1));
  return ranMs * (nearTailShare + excess * (farTailShare - nearTailShare));
}
