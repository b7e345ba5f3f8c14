import { msPerSecond } from '@apricothoist/common';

import { delayCost, inTimeProbability, lateProbability, lateValueShare } from './DelayCost.js';
import type { JobRank } from './DispatchOrder.js';
import { rankJob } from './DispatchOrder.js';
import type { DispatchState } from './DispatchState.js';
import type { JobRun } from './JobRun.js';
import { remainingRunMs } from './RemainingTime.js';
import type { TaskGroup } from './TaskGroup.js';

/** Milliseconds of a guarantee's start bound that are reserved for sending commands. */
const reclaimMarginMs = 700;
/** Factor on the work that a guaranteed job may destroy while it is in time: see maxCostFor. */
const guaranteedLossFactor = 5;
/** Cost in core-seconds per core of restarting a stopped task group, on top of its unsaved work. */
const restartCostSeconds = 0.5;

/** Milliseconds of work that are lost if the task group is stopped now. */
function unsavedMs(group: TaskGroup, now: number): number {
  // Steps that save their progress also save it on a stop.
  const isSaved = group.startedAt === 0 || group.step.savesProgress;
  return isSaved ? 0 : Math.max(0, now - group.startedAt);
}

/** Core-seconds that are lost if the task group is stopped now. */
export function unsavedWork(group: TaskGroup, now: number): number {
  return group.cores * (unsavedMs(group, now) / msPerSecond + restartCostSeconds);
}

/**
 * What a preemption costs, and what it may cost, in core-seconds.
 *
 * Load pattern: urgent gangs with little slack beside wide jobs that are well within their objective
 * and others that are close to it. A stop destroys work, and the job that is stopped ends later.
 */
export class PreemptionCost {
  private readonly delayCosts = new Map<JobRun, (delayMs: number) => number>();

  public constructor(
    private readonly state: DispatchState,
    private readonly now: number,
  ) {}

  /** Work that is lost if the task group is stopped, and what its caller loses by the delay. */
  public of(victim: TaskGroup): number {
    const repeatedMs = unsavedMs(victim, this.now) + restartCostSeconds * msPerSecond;
    return unsavedWork(victim, this.now) + this.delayCostOf(victim.job)(repeatedMs);
  }

  /**
   * Most that a preemption for the job may cost. It is unlimited once the bound of a guarantee is
   * near. Before that, a guaranteed job that probably meets its objective may cost more than others:
   * it would preempt the same work later anyway, but miss its objective.
   */
  public maxCostFor({ job, isGuaranteed, outlook, work }: JobRank): number {
    const { bounds, policy } = this.state;
    const preemptAfterMs = bounds.reclaimMs - bounds.stopMs - reclaimMarginMs;
    if (isGuaranteed && this.now - job.arrivedAt >= preemptAfterMs) {
      return Infinity;
    }
    const inTime = inTimeProbability(outlook, bounds.stopMs);
    const late = lateProbability(outlook, bounds.stopMs) - inTime;
    const factor = (isGuaranteed ? guaranteedLossFactor : 1) * inTime + lateValueShare * late;
    return factor * (policy.lostWorkBase + policy.lostWorkRatio * work);
  }

  private delayCostOf(job: JobRun): (delayMs: number) => number {
    let cost = this.delayCosts.get(job);
    if (cost === undefined) {
      const { estimates } = this.state;
      const { outlook } = rankJob(job, false, estimates, this.now, (group) =>
        remainingRunMs(group, this.state, this.now),
      );
      cost = (delayMs) => delayCost(outlook, delayMs);
      this.delayCosts.set(job, cost);
    }
    return cost;
  }
}
