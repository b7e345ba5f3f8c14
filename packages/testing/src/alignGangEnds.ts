import type { StartCommand } from '@apricothoist/dispatch';

import type { ReplayRunner, ReplayTask } from './ReplayRunner.js';

function slowDown(task: ReplayTask, factor: number): void {
  task.workDoneAt = task.startedAt + (task.workDoneAt - task.startedAt) * factor;
  task.slowdown *= factor;
}

/**
 * Lets all tasks of a gang that was just started end together.
 *
 * @param farSlowdown factor by which a gang that prefers one rack takes longer when spread over
 *   several
 */
export function alignGangEnds(
  starts: readonly StartCommand[],
  runners: ReadonlyMap<string, ReplayRunner>,
  farSlowdown: number,
): void {
  const gangs = new Map<string, { task: ReplayTask; rack: string }[]>();
  starts.forEach(({ runnerId, jobId, task, run }) => {
    const runner = runners.get(runnerId);
    const started = runner?.tasks.get(`${task}#${run}`);
    if (runner !== undefined && started?.step.isGang) {
      const key = `${jobId}.${task.split('.')[2]}`;
      gangs.set(key, [...(gangs.get(key) ?? []), { task: started, rack: runner.entry.rack }]);
    }
  });
  gangs.forEach((members) => {
    const tasks = members.map(({ task }) => task);
    const isSpread = new Set(members.map(({ rack }) => rack)).size > 1;
    if (isSpread && tasks[0]?.step.prefersOneRack) {
      tasks.forEach((task) => slowDown(task, farSlowdown));
    }
    const endsAt = Math.max(...tasks.map(({ workDoneAt }) => workDoneAt));
    const slowdown = Math.max(...tasks.map((task) => task.slowdown));
    tasks.forEach((task) => Object.assign(task, { endsAt, slowdown }));
  });
}
