import type {
  Account,
  DispatchBounds,
  JobSpecification,
  Queue,
  Resources,
  Step,
} from '@apricothoist/dispatch';

/** A job that arrives during a replay. */
export interface JobArrival {
  /** Arrival time in virtual milliseconds. */
  readonly at: number;
  readonly queue: string;
  readonly account?: string;
  readonly steps: readonly Partial<Step>[];
  /** Actual duration of each task in milliseconds; the dispatcher sees only the declared one. */
  readonly durationMs: number;
  /** Factors on the duration by step and task; absent: 1. */
  readonly taskFactors?: readonly (readonly number[])[];
}

/** A deployment to be replayed; what is absent is as in the replays of single decisions. */
export interface ReplayDeployment {
  readonly queues?: readonly Queue[];
  readonly accounts?: readonly Account[];
  /** Capacity of each runner. */
  readonly capacity?: Resources;
  /** Milliseconds that a stop takes. */
  readonly stopMs?: number;
  /** Milliseconds of work between saves of progress; absent: progress is saved on a stop. */
  readonly saveIntervalMs?: number;
  /** Factor by which a gang that prefers one rack takes longer when spread over several. */
  readonly farSlowdown?: number;
  /** Milliseconds between reports of a runner whose runs do not end; absent: in every step. */
  readonly reportIntervalMs?: number;
  /** Whether new jobs pass admission, and come back after their Retry-After if refused. */
  readonly hasAdmission?: boolean;
}

export const replayBounds: DispatchBounds = {
  stopMs: 900,
  reclaimMs: 3_400,
  maxLeaseMs: 6_000,
  farSlowdown: 3,
  evacuationMs: Infinity,
};

/** A step of one small task that does not save its progress. */
export const plainStep: Step = {
  count: 1,
  size: { cpu: 1_000, memoryMb: 1_000, accelerators: 1 },
  declaredMs: 1_000,
  after: [],
  isGang: false,
  prefersOneRack: false,
  savesProgress: false,
  isLasting: false,
  usesLeftover: false,
};

/**
 * The two kinds of queues of the service requirements: urgent jobs that last seconds, and batch
 * jobs of two priorities.
 */
export const replayQueues: Readonly<Record<string, Queue>> = {
  urgent: {
    name: 'urgent',
    service: 'service',
    priority: 0,
    maxAttempts: 3,
    stretch: 1.5,
    targetMs: 250,
  },
  large: {
    name: 'large',
    service: 'service',
    priority: 1,
    maxAttempts: 3,
    stretch: 3,
    targetMs: 1_000,
  },
  batch: {
    name: 'batch',
    service: 'service',
    priority: 2,
    maxAttempts: 3,
    stretch: 3,
    targetMs: 3_000,
  },
};

/** Values of a deployment that are used where it gives none. */
export const plainDeployment = {
  queues: Object.values(replayQueues),
  accounts: [{ name: 'anna', guaranteedAccelerators: 32 }],
  capacity: { cpu: 32_000, memoryMb: 131_072, accelerators: 8 },
  stopMs: replayBounds.stopMs,
  farSlowdown: 1,
  hasAdmission: false,
} as const satisfies ReplayDeployment;

/** Creates the specification of a job of the urgent queue that is due immediately. */
export function createSpecification(id: string, steps: readonly Step[]): JobSpecification {
  return {
    id,
    queue: 'urgent',
    account: 'anna',
    service: 'service',
    payload: '',
    steps,
    occurrences: 1,
    intervalMs: 0,
    firstDueAt: 0,
    acceptedAt: 0,
  };
}

/** Milliseconds of the longest chain of steps of a job on runners of speed 1. */
export function criticalPathMs({ steps, durationMs, taskFactors }: JobArrival): number {
  const lengths: number[] = [];
  steps.forEach(({ after = [] }, index) => {
    const before = Math.max(0, ...after.map((dependency) => lengths[dependency] ?? 0));
    lengths[index] = before + durationMs * Math.max(...(taskFactors?.[index] ?? [1]));
  });
  return Math.max(0, ...lengths);
}
