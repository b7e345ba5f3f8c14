import type { Account, Queue } from '@apricothoist/dispatch';

import type { DeploymentLoad } from './generateDeploymentLoad.js';
import type { JobClass, LoadBurst } from './generateLoad.js';

/** Figures in which the two deployments differ. */
interface DeploymentFigures {
  readonly racks: number;
  readonly runnersPerRack: number;
  readonly memoryMb: number;
  readonly speeds: readonly number[];
  readonly stopMs: number;
  readonly saveIntervalMs: number;
  readonly stragglerShare: number;
  readonly waveShare: number;
  readonly wavePeriodMs: number;
  readonly accountExponent: number;
  /** By queue: urgent, wide, batch. */
  readonly jobsPerSecond: readonly [number, number, number];
  readonly taskMemoryMb: readonly [number, number, number];
}

const accountCount = 10;
const acceleratorsPerRunner = 8;
/** Share of all accelerators that the guarantees of all accounts sum up to. */
const guaranteedShare = 0.62;
const taskCountSigma = 0.8;
const gangAccelerators = [1, 2, 4, 8, 8];

const service = 'service';
const maxAttempts = 3;
const queues: readonly Queue[] = [
  { name: 'urgent', service, priority: 0, maxAttempts, stretch: 1.5, targetMs: 275 },
  { name: 'wide', service, priority: 1, maxAttempts, stretch: 3, targetMs: 1_000 },
  { name: 'batch', service, priority: 2, maxAttempts, stretch: 3, targetMs: 3_000 },
];

const bursts: readonly LoadBurst[] = [
  { queue: 'urgent', from: 2_000, until: 8_000, factor: 2 },
  { queue: 'batch', from: 4_000, until: 8_000, factor: 2.5 },
];

// The durations are the means of the ranges that the requirements give for both deployments.
function createJobClasses({
  jobsPerSecond,
  taskMemoryMb,
  stragglerShare,
}: DeploymentFigures): JobClass[] {
  return [
    {
      queue: 'urgent',
      jobsPerSecond: jobsPerSecond[0],
      meanTasks: 5,
      cpu: 7_500,
      memoryMb: taskMemoryMb[0],
      accelerators: gangAccelerators,
      meanDurationMs: 2_300,
      durationSigma: 0.5,
      isGang: true,
      oneRackShare: 0.8,
      checkpointShare: 0,
      taskCountSigma,
      stragglerShare,
    },
    {
      queue: 'wide',
      jobsPerSecond: jobsPerSecond[1],
      meanTasks: 13,
      cpu: 26_000,
      memoryMb: taskMemoryMb[1],
      accelerators: gangAccelerators,
      meanDurationMs: 7_800,
      isGang: true,
      oneRackShare: 0.6,
      checkpointShare: 0.45,
      taskCountSigma,
      stragglerShare,
    },
    {
      queue: 'batch',
      jobsPerSecond: jobsPerSecond[2],
      meanTasks: 39,
      meanSteps: 1.3,
      cpu: 5_600,
      memoryMb: taskMemoryMb[2],
      accelerators: [1],
      meanDurationMs: 6_300,
      isGang: false,
      oneRackShare: 0,
      checkpointShare: 0.45,
      taskCountSigma,
      stragglerShare,
    },
  ];
}

function createLoad(figures: DeploymentFigures): DeploymentLoad {
  const { racks, runnersPerRack, memoryMb, speeds, accountExponent } = figures;
  const weights = Array.from(
    { length: accountCount },
    (_, index) => (index + 1) ** -accountExponent,
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const accountShares = new Map(
    weights.map((weight, index) => [`account-${index + 1}`, weight / sum]),
  );
  const accelerators = racks * runnersPerRack * acceleratorsPerRunner;
  const accounts = [...accountShares].map(([name, share]): Account => ({
    name,
    guaranteedAccelerators: Math.round(guaranteedShare * accelerators * share),
  }));
  return {
    racks,
    runnersPerRack,
    variation: { slowEvery: 0, slowFactor: 1, unevenness: 0.15, speeds },
    deployment: {
      queues,
      accounts,
      capacity: { cpu: 64_000, memoryMb, accelerators: acceleratorsPerRunner },
      stopMs: figures.stopMs,
      saveIntervalMs: figures.saveIntervalMs,
      reportIntervalMs: 100,
      farSlowdown: 3,
      hasAdmission: true,
    },
    jobClasses: createJobClasses(figures),
    bursts,
    waveShare: figures.waveShare,
    wavePeriodMs: figures.wavePeriodMs,
    initialJobs: 36,
    leadMs: 8_000,
    initialQueues: ['wide', 'batch'],
    accountShares,
  };
}

/** Load of the feature-flag service: runners of two speeds, stragglers, strong waves. */
export const flagyardLoad = createLoad({
  racks: 20,
  runnersPerRack: 12,
  memoryMb: 131_072,
  speeds: [0.55, 1.2, 1.2, 1.2],
  stopMs: 200,
  saveIntervalMs: 2_000,
  stragglerShare: 0.03,
  waveShare: 0.55,
  wavePeriodMs: 15_000,
  accountExponent: 0,
  jobsPerSecond: [5.43, 1.28, 1.26],
  taskMemoryMb: [20_000, 38_000, 11_000],
});

/** Load of the service of saved games: gangs that need half the memory of a runner, one large account. */
export const vaultLoad = createLoad({
  racks: 31,
  runnersPerRack: 8,
  memoryMb: 262_144,
  speeds: [1, 1.3],
  stopMs: 400,
  saveIntervalMs: 500,
  stragglerShare: 0,
  waveShare: 0.15,
  wavePeriodMs: 11_000,
  accountExponent: 1.2,
  jobsPerSecond: [6.25, 1.17, 1.44],
  taskMemoryMb: [39_000, 140_000, 23_000],
});
