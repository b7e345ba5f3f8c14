import type { AttemptState } from './charts.js';
import type { Observations } from './observe.js';
import type { Attempt, Plan } from './Plan.js';

/** Phase that the plan assigns to a task on a worker; the values are those of the worker protocol. */
export type AssignedPhase = 'reserve' | 'run' | 'checkpoint';

/** The tasks of one attempt that the plan assigns to one worker. */
export interface PlannedTask {
  readonly attempt: Attempt;
  readonly accelerators: number;
  readonly phase: AssignedPhase;
}

const phases: Record<AttemptState, AssignedPhase | undefined> = {
  placing: 'reserve',
  running: 'run',
  checkpointing: 'checkpoint',
  releasing: undefined,
  over: undefined,
};

/** The tasks assigned to each worker by the plan; one entry for each attempt on the worker. */
export function assignmentsOf(plan: Plan): Map<string, PlannedTask[]> {
  const byWorker = new Map<string, PlannedTask[]>();
  plan.attempts.forEach((attempt) => {
    const phase = phases[attempt.state];
    if (phase === undefined) {
      return;
    }
    const totals = new Map<string, number>();
    attempt.tasks.forEach((task) => {
      totals.set(task.workerId, (totals.get(task.workerId) ?? 0) + task.accelerators);
    });
    totals.forEach((accelerators, workerId) => {
      const list = byWorker.get(workerId) ?? [];
      list.push({ attempt, accelerators, phase });
      byWorker.set(workerId, list);
    });
  });
  return byWorker;
}

/**
 * Whether the leases of an attempt may be renewed: the worker of every unfinished task has reported
 * recently. If one task of a gang cannot be observed, the leases of the others expire and they stop
 * on their own, whichever instance renews leases and whichever plan revision it has.
 *
 * @param staleBefore wall-clock milliseconds; older reports are ignored
 */
export function isRenewable(
  attempt: Attempt,
  observations: Observations,
  staleBefore: number,
): boolean {
  const startedAt = attempt.startedAt ?? 0;
  return attempt.tasks.every((task) => {
    const worker = observations.get(task.workerId);
    if (task.isFinished) {
      return true;
    }
    const hasCurrentReport =
      worker !== undefined &&
      worker.reportedAt >= staleBefore &&
      worker.planRevision >= (attempt.runRevision ?? 0);
    if (!hasCurrentReport) {
      return startedAt >= staleBefore;
    }
    const state = worker.tasks.get(attempt.id)?.state ?? 'absent';
    return state !== 'absent' && state !== 'stopped' && state !== 'failed';
  });
}
