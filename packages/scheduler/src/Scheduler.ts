import type { Configuration } from '@apricothoist/config';

import type { WorkerView } from './Capacity.js';
import type { GuaranteeUnit } from './GuaranteeFeasibility.js';
import { GuaranteeFeasibility } from './GuaranteeFeasibility.js';
import type { ObservationLimits, Observations } from './observe.js';
import { observe } from './observe.js';
import { PlacementRound } from './PlacementRound.js';
import type { Plan } from './Plan.js';
import { PlanDraft } from './PlanDraft.js';

/** Input of one scheduling step. */
export interface SchedulerInput {
  readonly plan: Plan;
  readonly configuration: Configuration;
  readonly workers: readonly WorkerView[];
  readonly observations: Observations;
  readonly limits: ObservationLimits;
}

/** Result of one scheduling step. */
export interface SchedulerDecision {
  /** The next plan, or undefined if nothing changes. */
  readonly plan: Plan | undefined;
  /** Guarantee units that the usable workers cannot hold simultaneously. */
  readonly shortfall: readonly GuaranteeUnit[];
}

/**
 * Schedules jobs on the workers of one data centre. It performs no I/O; a decision takes effect
 * only when the caller writes the plan with compare-and-swap.
 */
export class Scheduler {
  private readonly feasibility = new GuaranteeFeasibility();

  /** @param createId returns identifiers that are never reused */
  public constructor(private readonly createId: () => string) {}

  public step(input: SchedulerInput): SchedulerDecision {
    const draft = new PlanDraft(input.plan);
    observe(draft, input.observations, input.limits);
    const round = new PlacementRound({
      draft,
      workers: input.workers,
      configuration: input.configuration,
      dataCentre: input.plan.dataCentre,
      feasibility: this.feasibility,
      now: input.limits.now,
      createId: this.createId,
    });
    const shortfall = round.run();
    return { plan: draft.finish(), shortfall };
  }
}
