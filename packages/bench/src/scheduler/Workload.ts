import type { Configuration } from '@apricothoist/config';
import type { Shape, WorkerView } from '@apricothoist/scheduler';

/** A job of a generated workload. Times are milliseconds from the start of the workload. */
export interface WorkloadJob {
  readonly id: string;
  readonly name: string;
  readonly account: string;
  readonly dataCentre: string;
  readonly shape: Shape;
  readonly urgency: 'urgent' | 'normal' | 'batch';
  readonly submitAt: number;
  /** Actual run time. */
  readonly runMs: number;
  /** Declared run time: between a tenth and ten times the actual one. */
  readonly declaredMs: number;
  readonly finishBy?: number;
}

/** A deployment and the jobs submitted to it. */
export interface Workload {
  readonly name: string;
  readonly configuration: Configuration;
  readonly workers: ReadonlyMap<string, readonly WorkerView[]>;
  readonly jobs: readonly WorkloadJob[];
}

/** Creates the workers that a configuration expects in each data centre. */
export function createWorkers(configuration: Configuration): Map<string, WorkerView[]> {
  return new Map(
    Object.entries(configuration.workers).map(([dataCentre, pool]) => [
      dataCentre,
      Array.from({ length: pool.count }, (_, index) => ({
        id: `${dataCentre}-${index}`,
        rack: `${dataCentre}-rack-${Math.floor(index / pool['workers-per-rack'])}`,
        accelerators: pool.accelerators,
        isUsable: true,
      })),
    ]),
  );
}
