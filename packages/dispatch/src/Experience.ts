import type { DispatchState } from './DispatchState.js';
import type { DurationRecord } from './DurationEstimates.js';
import type { PaceRecord } from './RunnerPace.js';

/** What a scheduler has learned of queues, runners and demand, for its successor. */
export interface Experience {
  readonly durations: readonly DurationRecord[];
  readonly paces: readonly (readonly [runnerId: string, bornAt: number, pace: PaceRecord])[];
  /** Accelerators kept free for urgent jobs. */
  readonly headroom: number;
  /** Accelerators that urgent jobs wanted lately, slot by slot. */
  readonly demand: readonly number[];
}

export function recordExperience(state: DispatchState, now: number): Experience {
  return {
    durations: state.estimates.records,
    paces: [...state.runners.values()]
      .filter(({ pace }) => pace.isKnown)
      .map(({ id, listed, pace }) => [id, listed.bornAt, pace.record] as const),
    headroom: Math.round(state.urgentHeadroom.at(now, Infinity)),
    demand: state.urgentDemand.record,
  };
}

/** Takes over what a former scheduler has learned; runners get theirs when they are listed. */
export function restoreExperience(state: DispatchState, experience: Experience, now: number): void {
  state.estimates.restore(experience.durations);
  experience.paces.forEach(([id, bornAt, pace]) => {
    state.formerPaces.set(paceKey(id, bornAt), pace);
  });
  state.urgentHeadroom.restore(experience.headroom, now);
  state.urgentDemand.restore(experience.demand);
}

/** Names one life of a runner. */
export function paceKey(runnerId: string, bornAt: number): string {
  return `${runnerId}@${bornAt}`;
}
