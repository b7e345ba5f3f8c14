import type { AttemptState } from './charts.js';
import type { Observations } from './observe.js';
import type { Attempt, Plan } from './Plan.js';

/** What a worker should do with a task; the same words as in the workers' protocol. */
export type AssignedPhase = 'reserve' | 'run' | 'checkpoint';

/** A task that the plan puts on a worker. */
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

/** The tasks that each worker should hold under the plan; one entry for each attempt there. */
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
 * Whether the leases of an attempt may be renewed: every part's worker has reported lately. A
 * gang that has lost sight of a part is not renewed, so its other parts stop by themselves,
 * whichever instance renews and whatever it knows of the plan.
 *
 * @param silentBefore wall milliseconds; older reports do not count
 */
export function isRenewable(
  attempt: Attempt,
  observations: Observations,
  silentBefore: number,
): boolean {
  const startedAt = attempt.startedAt ?? 0;
  return attempt.tasks.every((task) => {
    const worker = observations.get(task.workerId);
    if (task.isFinished) {
      return true;
    }
    const hasSeenRun =
      worker !== undefined &&
      worker.reportedAt >= silentBefore &&
      worker.planRevision >= (attempt.runRevision ?? 0);
    if (!hasSeenRun) {
      return startedAt >= silentBefore;
    }
    const state = worker.tasks.get(attempt.id)?.state ?? 'absent';
    return state !== 'absent' && state !== 'stopped' && state !== 'failed';
  });
}
