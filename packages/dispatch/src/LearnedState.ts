import type { DispatchState } from './DispatchState.js';
import type { DurationRecord } from './DurationEstimates.js';
import type { SpeedRecord } from './RunnerSpeed.js';

/** Learned state of queues, runners and demand, stored for the next scheduling instance. */
export interface LearnedState {
  readonly durations: readonly DurationRecord[];
  /** Speeds by incarnation of the runner; `paces` is the stored field name. */
  readonly paces: readonly (readonly [
    runnerId: string,
    processStartedAt: number,
    speed: SpeedRecord,
  ])[];
  /** Accelerators kept free for urgent jobs. */
  readonly headroom: number;
  /** Recent accelerator demand of urgent jobs, by time slot. */
  readonly demand: readonly number[];
}

export function exportLearnedState(state: DispatchState, now: number): LearnedState {
  return {
    durations: state.estimates.records,
    paces: [...state.runners.values()]
      .filter(({ speed }) => speed.samples > 0)
      .map(({ id, listed, speed }) => [id, listed.processStartedAt, speed.record] as const),
    headroom: Math.round(state.urgentHeadroom.at(now, Infinity)),
    demand: state.urgentDemand.record,
  };
}

/** Restores the learned state; speeds are applied when their runners are listed. */
export function restoreLearnedState(
  state: DispatchState,
  learnedState: LearnedState,
  now: number,
): void {
  state.estimates.restore(learnedState.durations);
  learnedState.paces.forEach(([id, startedAt, speed]) => {
    state.inheritedSpeeds.set(incarnationKey(id, startedAt), speed);
  });
  state.urgentHeadroom.restore(learnedState.headroom, now);
  state.urgentDemand.restore(learnedState.demand);
}

/** Key of one incarnation of a runner. */
export function incarnationKey(runnerId: string, startedAt: number): string {
  return `${runnerId}@${startedAt}`;
}
