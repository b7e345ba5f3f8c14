import type { DispatchState } from './DispatchState.js';
import type { TaskGroup } from './TaskGroup.js';
import { TaskGroupPhase } from './TaskGroup.js';
import type { TaskGroupLifecycle } from './TaskGroupLifecycle.js';

/** Milliseconds between the latest end of a stop and the departure of its runner. */
const departureMarginMs = 400;

/**
 * Stops task groups that would not end before their draining runner departs. Task groups that save
 * their progress on a stop are stopped as late as possible. Others are moved only if that loses
 * less work than waiting, because the runner may stay longer than announced.
 */
export function vacateDrainingRunners(
  state: DispatchState,
  lifecycle: TaskGroupLifecycle,
  now: number,
): void {
  const { stopMs } = state.bounds;
  state.runners.forEach((runner) => {
    if (!runner.isDraining || runner.departsAt === Infinity) {
      return;
    }
    const remainsMs = Math.max(0, runner.departsAt - now);
    runner.occupants.forEach(({ group }) => {
      const groupLeftMs = remainingMs(state, group, now);
      if (group.phase !== TaskGroupPhase.running || groupLeftMs <= remainsMs) {
        return;
      }
      const ranMs = now - group.startedAt;
      const isDue = group.step.savesProgress
        ? remainsMs <= stopMs + departureMarginMs
        : groupLeftMs - remainsMs > ranMs + remainsMs;
      if (isDue) {
        lifecycle.abort(group, 'runner is draining', now);
      }
    });
  });
}

/** Milliseconds that a run is expected to take still. */
export function remainingMs({ estimates }: DispatchState, group: TaskGroup, now: number): number {
  const expectedMs = estimates.estimate(group.job.queue.name, group.step);
  return Math.max(0, expectedMs - (now - group.startedAt));
}
