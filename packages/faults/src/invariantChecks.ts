import { workerTimeoutMs, taskLeaseMs } from '@apricothoist/daemon/core';
import { AttemptOutcome } from '@apricothoist/router';
import type { Plan } from '@apricothoist/scheduler';
import { GuaranteeLedger, guaranteesOf } from '@apricothoist/scheduler';
import type { RunRecord } from '@apricothoist/testing';
import { canPlaceTogether } from '@apricothoist/testing';

import type { VirtualSimulation } from './VirtualSimulation.js';
import { acceleratorsPerWorker, workersPerRack } from './virtualDeployment.js';

/** The eight invariants that are checked in every cell. */
export const Invariant = {
  reclaimable: 'a guaranteed shape can always be reclaimed',
  wholeGangs: 'no part of a gang runs without the rest',
  ownResponses: 'each caller receives its own whole answer',
  notRun: 'a request refused as not run did not run',
  atMostOnce: 'a request that is not idempotent runs at most once',
  leavingEndpoints: 'a leaving endpoint receives no new work',
  gracefulShutdowns: 'a planned stop cuts off no request',
  configuration: 'an accepted configuration is in force everywhere and stays',
} as const;
export type Invariant = (typeof Invariant)[keyof typeof Invariant];

/** A violated invariant and what was observed. */
export interface Violation {
  readonly invariant: Invariant;
  readonly details: string;
}

/**
 * Longest time in milliseconds for which tasks of a gang may run after another has stopped: until
 * the stopped task's worker counts as lost, leases are renewed, and the last of them has to expire;
 * plus one second of margin.
 */
export const partialRunLimitMs = workerTimeoutMs + taskLeaseMs + 1_000;
const leavingNoticeLimitMs = 3_000;
const propagationLimitMs = 12_000;

type InvariantCheck = (simulation: VirtualSimulation) => string | undefined;

const checks: Record<Invariant, InvariantCheck> = {
  [Invariant.reclaimable]: checkReclaimableGuarantees,
  [Invariant.wholeGangs]: (simulation) =>
    checkWholeGangs(simulation) ?? checkOneAttemptPerJob(simulation),
  [Invariant.ownResponses]: checkOwnResponses,
  [Invariant.notRun]: checkNotRun,
  [Invariant.atMostOnce]: checkAtMostOnce,
  [Invariant.leavingEndpoints]: checkLeavingEndpoints,
  [Invariant.gracefulShutdowns]: checkGracefulShutdowns,
  [Invariant.configuration]: checkConfiguration,
};

/** Checks all invariants against the whole history of the simulation. */
export function checkInvariants(simulation: VirtualSimulation): Violation[] {
  simulation.workers.forEach((worker) => worker.advance(simulation.now));
  return Object.entries(checks).flatMap(([invariant, check]) => {
    const details = check(simulation);
    return details === undefined ? [] : [{ invariant: invariant as Invariant, details }];
  });
}

// In every adopted plan, all unused guarantees must fit at the same time. Lost workers count as
// present: they reduce what can be met, but that is no fault of the plan.
function checkReclaimableGuarantees(simulation: VirtualSimulation): string | undefined {
  const guarantees = guaranteesOf(simulation.configuration, 'a');
  for (const plan of simulation.plans) {
    const ledger = new GuaranteeLedger(guarantees, plan.attempts);
    const gangs = ledger.unusedUnits().map(({ shape }) => ({
      tasks: shape.workers,
      acceleratorsPerTask: shape.acceleratorsPerWorker,
      isAdjacent: shape.adjacency === 'rack',
    }));
    if (!canPlaceTogether(freeAcceleratorsByRack(simulation, plan), gangs)) {
      return `plan ${plan.revision} leaves too little free capacity for the unused guarantees`;
    }
  }
  return undefined;
}

function freeAcceleratorsByRack(simulation: VirtualSimulation, plan: Plan): number[][] {
  const ids = [...simulation.workers.keys()].filter((id) => id.startsWith('a-'));
  const heldByWorker = new Map<string, number>();
  plan.attempts
    .filter((attempt) => attempt.guarantee !== undefined)
    .flatMap((attempt) => attempt.tasks)
    .filter((task) => !task.isStopped)
    .forEach((task) =>
      heldByWorker.set(task.workerId, (heldByWorker.get(task.workerId) ?? 0) + task.accelerators),
    );
  const free = ids.map((id) => Math.max(0, acceleratorsPerWorker - (heldByWorker.get(id) ?? 0)));
  return Array.from({ length: Math.ceil(free.length / workersPerRack) }, (_, rack) =>
    free.slice(rack * workersPerRack, (rack + 1) * workersPerRack),
  );
}

function checkWholeGangs(simulation: VirtualSimulation): string | undefined {
  for (const [attemptId, runs] of groupRuns(simulation, (run) => run.attemptId)) {
    const workerCount = countAssignedWorkers(simulation, attemptId);
    const partialRunMs = longestPartialRun(runs, workerCount, simulation.now);
    if (partialRunMs > partialRunLimitMs) {
      return `attempt ${attemptId}: some tasks ran for ${partialRunMs} ms without the others`;
    }
  }
  return undefined;
}

// Number of workers that the newest plan with this attempt assigns to it.
function countAssignedWorkers(simulation: VirtualSimulation, attemptId: string): number {
  const attempt = simulation.plans
    .toReversed()
    .flatMap((plan) => plan.attempts)
    .find((candidate) => candidate.id === attemptId);
  return new Set(attempt?.tasks.map((task) => task.workerId)).size;
}

function longestPartialRun(runs: readonly RunRecord[], workerCount: number, now: number): number {
  const changes = runs.flatMap((run) => [
    { at: run.startedAt, change: 1 },
    { at: run.endedAt ?? now, change: -1 },
  ]);
  changes.sort((left, right) => left.at - right.at || right.change - left.change);
  let running = 0;
  let since = 0;
  let longest = 0;
  changes.forEach(({ at, change }) => {
    const wasPartial = running > 0 && running < workerCount;
    if (wasPartial) {
      longest = Math.max(longest, at - since);
    }
    running += change;
    since = wasPartial && running > 0 && running < workerCount ? since : at;
  });
  return longest;
}

function checkOneAttemptPerJob(simulation: VirtualSimulation): string | undefined {
  for (const [jobId, runs] of groupRuns(simulation, (run) => run.jobId)) {
    const sorted = [...runs].sort((left, right) => left.startedAt - right.startedAt);
    for (const [index, run] of sorted.entries()) {
      const overlap = sorted
        .slice(0, index)
        .find(
          (other) =>
            other.attemptId !== run.attemptId && (other.endedAt ?? simulation.now) > run.startedAt,
        );
      if (overlap !== undefined) {
        return `job ${jobId}: attempts ${overlap.attemptId} and ${run.attemptId} ran at the same time`;
      }
    }
  }
  return undefined;
}

function groupRuns(
  simulation: VirtualSimulation,
  keyOf: (run: RunRecord) => string,
): Map<string, RunRecord[]> {
  const groups = new Map<string, RunRecord[]>();
  simulation.workers.forEach((worker) => {
    worker.runs.forEach((run) => {
      groups.set(keyOf(run), [...(groups.get(keyOf(run)) ?? []), run]);
    });
  });
  return groups;
}

function checkOwnResponses(simulation: VirtualSimulation): string | undefined {
  const violating = simulation.caller.records.find(
    ({ result, requestId }) =>
      result?.outcome === AttemptOutcome.answered &&
      Buffer.from(result.answer.body).toString() !== requestId,
  );
  return violating && `${violating.requestId} received a response that is not its own`;
}

function checkNotRun(simulation: VirtualSimulation): string | undefined {
  const runs = countRuns(simulation);
  // A repetition under the same key may be refused while the first request runs. So a key counts as
  // not run only if every request under it was refused.
  const violating = simulation.caller.records.find(({ result, requestId }) => {
    const same = simulation.caller.records.filter((record) => record.requestId === requestId);
    const areAllRefused = same.every((record) => record.result?.outcome === AttemptOutcome.notRun);
    return result?.outcome === AttemptOutcome.notRun && areAllRefused && runs.has(requestId);
  });
  return violating && `${violating.requestId} was refused as not run but was executed`;
}

function checkAtMostOnce(simulation: VirtualSimulation): string | undefined {
  const runs = countRuns(simulation);
  const violating = simulation.caller.records.find(
    ({ isIdempotent, requestId }) => !isIdempotent && (runs.get(requestId) ?? 0) > 1,
  );
  return violating && `${violating.requestId} was executed ${runs.get(violating.requestId)} times`;
}

function countRuns(simulation: VirtualSimulation): Map<string, number> {
  const counts = new Map<string, number>();
  simulation.endpoints.forEach((endpoint) => {
    endpoint.runs.forEach(({ requestId }) => {
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    });
  });
  return counts;
}

function checkLeavingEndpoints(simulation: VirtualSimulation): string | undefined {
  for (const endpoint of simulation.endpoints.values()) {
    const lateRun = endpoint.runs.find(
      (run) => run.startedAt > endpoint.leavingSince + leavingNoticeLimitMs,
    );
    if (lateRun !== undefined) {
      return `${endpoint.id} accepted ${lateRun.requestId} ${lateRun.startedAt - endpoint.leavingSince} ms after it was known to be leaving`;
    }
  }
  return undefined;
}

// When the check runs, every request to an instance that was not killed must have a result.
function checkGracefulShutdowns(simulation: VirtualSimulation): string | undefined {
  const open = simulation.caller.records.find(
    ({ result, instance }) => result === undefined && !simulation.network.isDead(instance.name),
  );
  return open && `${open.requestId} sent to ${open.instance.name} received no response`;
}

function checkConfiguration(simulation: VirtualSimulation): string | undefined {
  for (const { name, adoptedRevisions } of simulation.instances) {
    if (
      adoptedRevisions.some((revision, index) => revision <= (adoptedRevisions[index - 1] ?? 0))
    ) {
      return `${name} adopted revisions out of order: ${adoptedRevisions.join(', ')}`;
    }
  }
  const dueRevisions = simulation.acceptedRevisions.filter(
    ({ acceptedAt }) => acceptedAt + propagationLimitMs <= simulation.now,
  );
  const newest = Math.max(0, ...dueRevisions.map(({ revision }) => revision));
  const outdated = simulation
    .liveInstances()
    .find((instance) => instance.core.configurations.revision < newest);
  return (
    outdated &&
    `${outdated.name} has revision ${outdated.core.configurations.revision}; the newest accepted one is ${newest}`
  );
}
