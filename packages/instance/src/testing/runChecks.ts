import type { VirtualRunRecord } from '@apricothoist/testing';

import type { VirtualDeployment } from './VirtualDeployment.js';

/** Pairs of runs of one task that overlap in time. */
export function findOverlaps(records: readonly VirtualRunRecord[]): string[] {
  return records.flatMap((first, index) =>
    records
      .slice(index + 1)
      .filter(
        ({ task, startedAt, endedAt }) =>
          task === first.task && startedAt < first.endedAt && first.startedAt < endedAt,
      )
      .map(
        (second) =>
          `${first.task}: run ${first.run} on ${first.runnerId}, run ${second.run} on ${second.runnerId}`,
      ),
  );
}

/** Collects the starts that exceed the limit of tasks of one step on a runner, or its capacity. */
export function watchRunnerLimits(deployment: VirtualDeployment): string[] {
  const exceeded: string[] = [];
  deployment.pool.onStart((runner, { record }) => {
    const stepName = record.task.slice(0, record.task.lastIndexOf('.') + 1);
    const { perRunnerLimit = Infinity } = deployment.stepOf(record.task);
    const present = runner.activeRuns.filter((run) => run.record.task.startsWith(stepName));
    if (present.length > perRunnerLimit) {
      exceeded.push(`${record.task}: ${present.length} tasks of its step on ${runner.id}`);
    }
    const used = runner.activeRuns.reduce((sum, run) => sum + run.behaviour.size.accelerators, 0);
    if (used > runner.capacity.accelerators) {
      exceeded.push(`${record.task}: ${used} accelerators used on ${runner.id}`);
    }
  });
  return exceeded;
}

/** Crashes after which the starts of a task are counted, and the starts that are allowed then. */
const crashesBeforeCount = 3;
const startsAfterCrashes = 2;

/**
 * Starts of tasks that have crashed three runners, beyond those that are allowed.
 *
 * @param lateStarts starts that are carried out late, which do not count, by `task#run`
 */
export function findExcessStarts(
  records: readonly VirtualRunRecord[],
  lateStarts: ReadonlyMap<string, number> = new Map(),
): string[] {
  const tasks = new Set(
    records.filter(({ hasCrashedRunner }) => hasCrashedRunner).map(({ task }) => task),
  );
  return [...tasks].flatMap((task) => {
    const runs = records.filter((record) => record.task === task);
    const crash = runs.filter(({ hasCrashedRunner }) => hasCrashedRunner)[crashesBeforeCount - 1];
    const starts = runs.filter(
      ({ run, startedAt }) =>
        crash !== undefined && startedAt >= crash.endedAt && !lateStarts.has(`${task}#${run}`),
    );
    return starts.length > startsAfterCrashes
      ? [`${task}: started ${starts.length} times after it had crashed three runners`]
      : [];
  });
}
