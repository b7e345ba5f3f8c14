import type { Resources } from '@apricothoist/dispatch';
import type { VirtualRunner } from '@apricothoist/testing';

import type { VirtualDeployment } from './VirtualDeployment.js';

/** Milliseconds for which a former capacity counts: the time until an instance is in touch. */
const contactMs = 3_000;
/** Milliseconds between two registry entries of a runner. */
const heartbeatMs = 1_500;
const allowedMs = contactMs + heartbeatMs;

interface FormerCapacity {
  readonly capacity: Resources;
  readonly until: number;
}

/** Collects the starts that exceed the capacity of their runner later than allowed. */
export class CapacityWatch {
  public readonly exceeded: string[] = [];

  private readonly formerCapacities = new Map<string, FormerCapacity[]>();

  /** @param lateStarts times of sending of the starts that are carried out late, by `task#run` */
  public constructor(
    deployment: VirtualDeployment,
    lateStarts: ReadonlyMap<string, number> = new Map(),
  ) {
    const { pool } = deployment;
    pool.onResize(({ id, capacity }) => {
      const former = this.formerCapacities.get(id) ?? [];
      this.formerCapacities.set(id, [...former, { capacity, until: deployment.now }]);
    });
    pool.onStart((runner, { record }) => {
      const { task, run, startedAt } = record;
      const sentAt = lateStarts.get(`${task}#${run}`) ?? startedAt;
      const exceeding = this.findExceeding(runner, sentAt - allowedMs);
      this.exceeded.push(...exceeding.map((text) => `${task}: ${text} on ${runner.id}`));
    });
  }

  private findExceeding(runner: VirtualRunner, since: number): string[] {
    const former = this.formerCapacities.get(runner.id) ?? [];
    const allowed = [
      runner.capacity,
      ...former.filter(({ until }) => until > since).map(({ capacity }) => capacity),
    ];
    return (['cpu', 'memoryMb', 'accelerators'] as const).flatMap((kind) => {
      const used = runner.activeRuns.reduce((sum, { behaviour }) => sum + behaviour.size[kind], 0);
      const limit = Math.max(...allowed.map((capacity) => capacity[kind]));
      return used > limit ? [`${used} of ${limit} ${kind} used`] : [];
    });
  }
}
