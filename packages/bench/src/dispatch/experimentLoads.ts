import type { DeploymentLoad } from '@apricothoist/testing';
import { flagyardLoad, largeDeploymentLoad, vaultLoad } from '@apricothoist/testing';

/** Credit of a job of mean size that ends in time or late. */
export type QueueCredit = readonly [inTime: number, late: number];

/** A load and what its callers value, by the service requirements. */
export interface ExperimentLoad {
  readonly load: DeploymentLoad;
  readonly creditByQueue: Readonly<Record<string, QueueCredit>>;
}

/** Load of a grown deployment without accounts of different sizes, and without admission. */
const largeLoad: DeploymentLoad = {
  racks: 31,
  runnersPerRack: 8,
  variation: { slowEvery: 3, slowFactor: 1.3, unevenness: 0.15 },
  deployment: {},
  jobClasses: largeDeploymentLoad,
  bursts: [{ queue: 'urgent', from: 7_000, until: 13_000, factor: 2 }],
  waveShare: 0,
  wavePeriodMs: 1_000,
  initialJobs: 0,
  leadMs: 0,
  initialQueues: [],
  accountShares: new Map([['anna', 1]]),
};

/** The loads by their names on the command line. */
export const experimentLoads: Readonly<Record<string, ExperimentLoad>> = {
  flagyard: {
    load: flagyardLoad,
    creditByQueue: { urgent: [4, 0.8], wide: [3, 0.3], batch: [1, 0.1] },
  },
  vault: {
    load: vaultLoad,
    creditByQueue: { urgent: [4, 0.8], wide: [3, 0.9], batch: [1, 0.3] },
  },
  large: {
    load: largeLoad,
    creditByQueue: { urgent: [4, 0.8], large: [3, 0.9], batch: [1, 0.3] },
  },
};
