import type { Configuration } from '@apricothoist/config';

import type { WorkerView } from './Capacity.js';
import type { GuaranteeUnit } from './GuaranteeWitness.js';
import { GuaranteeWitness } from './GuaranteeWitness.js';
import type { ObservationLimits, Observations } from './observe.js';
import { observe } from './observe.js';
import { PlacementRound } from './PlacementRound.js';
import type { Plan } from './Plan.js';
import { PlanDraft } from './PlanDraft.js';

/** Everything one step decides from. */
export interface SchedulerInput {
  readonly plan: Plan;
  readonly configuration: Configuration;
  readonly workers: readonly WorkerView[];
  readonly observations: Observations;
  readonly limits: ObservationLimits;
}

/** What one step decided. */
export interface SchedulerDecision {
  /** The next plan, or undefined when nothing changes. */
  readonly plan: Plan | undefined;
  /** Units of guarantees that the usable workers cannot hold together. */
  readonly shortfall: readonly GuaranteeUnit[];
}

/**
 * Decides for the workers of one data centre. It does no I/O; a decision takes effect only when
 * the plan is written by compare-and-swap.
 */
export class Scheduler {
  private readonly witness = new GuaranteeWitness();

  /** @param createId gives identifiers that are never reused */
  public constructor(private readonly createId: () => string) {}

  public step(input: SchedulerInput): SchedulerDecision {
    const draft = new PlanDraft(input.plan);
    observe(draft, input.observations, input.limits);
    const round = new PlacementRound({
      draft,
      workers: input.workers,
      configuration: input.configuration,
      dataCentre: input.plan.dataCentre,
      witness: this.witness,
      now: input.limits.now,
      createId: this.createId,
    });
    const shortfall = round.run();
    return { plan: draft.finish(), shortfall };
  }
}
