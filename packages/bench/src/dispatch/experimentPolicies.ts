import type { DispatchPolicy } from '@apricothoist/dispatch';
import { defaultPolicy } from '@apricothoist/dispatch';
import type { ReplayDeployment } from '@apricothoist/testing';
import { plainDeployment } from '@apricothoist/testing';

/** A scheduling policy to be compared. */
export interface ExperimentPolicy {
  readonly policy: DispatchPolicy;
  /** Changes the deployment that the load is replayed on. */
  readonly adapt: (deployment: ReplayDeployment) => ReplayDeployment;
}

function unchanged(deployment: ReplayDeployment): ReplayDeployment {
  return deployment;
}

/**
 * Gives all queues the same priority, which is not that of urgent work, and drops guarantees and
 * admission.
 */
function withoutPriorities(deployment: ReplayDeployment): ReplayDeployment {
  const { queues = plainDeployment.queues, accounts = plainDeployment.accounts } = deployment;
  return {
    ...deployment,
    queues: queues.map((queue) => ({ ...queue, priority: 1 })),
    accounts: accounts.map((account) => ({ ...account, guaranteedAccelerators: 0 })),
    hasAdmission: false,
  };
}

/** The policies by their names on the command line. */
export const experimentPolicies: Readonly<Record<string, ExperimentPolicy>> = {
  current: { policy: defaultPolicy, adapt: unchanged },
  // First come, first served: no preemption and no headroom; later jobs use the gaps that an
  // earlier one does not fit into.
  fcfs: {
    policy: {
      ...defaultPolicy,
      headroomShare: 0,
      compareRanks: (left, right) => left.job.arrivedAt - right.job.arrivedAt,
    },
    adapt: withoutPriorities,
  },
  'no-headroom': { policy: { ...defaultPolicy, headroomShare: 0 }, adapt: unchanged },
  // Except for guarantees whose bound is near.
  'no-preemption': {
    policy: { ...defaultPolicy, lostWorkRatio: 0, lostWorkBase: 0 },
    adapt: unchanged,
  },
};
