import { lostAfterMs, taskLeaseMs } from '@apricothoist/daemon/core';
import { AttemptOutcome } from '@apricothoist/router';
import type { Plan } from '@apricothoist/scheduler';
import { GuaranteeLedger, guaranteesOf } from '@apricothoist/scheduler';
import type { RunRecord } from '@apricothoist/testing';
import { canPlaceTogether } from '@apricothoist/testing';

import type { VirtualWorld } from './VirtualWorld.js';
import { acceleratorsPerWorker, workersPerRack } from './virtualDeployment.js';

/** The eight promises that every cell is checked against. */
export const PromiseName = {
  reclaimable: 'a guaranteed shape can always be reclaimed',
  wholeGangs: 'no part of a gang runs without the rest',
  ownAnswers: 'each caller receives its own whole answer',
  notRun: 'a request refused as not run did not run',
  atMostOnce: 'a request that is not idempotent runs at most once',
  leavingEndpoints: 'a leaving endpoint receives no new work',
  plannedStops: 'a planned stop cuts off no request',
  configuration: 'an accepted configuration is in force everywhere and stays',
} as const;
export type PromiseName = (typeof PromiseName)[keyof typeof PromiseName];

/** A broken promise and what was seen. */
export interface Breach {
  readonly promise: PromiseName;
  readonly seen: string;
}

/** Longest time in milliseconds for which a part may run after another has stopped. */
export const partialRunLimitMs = lostAfterMs + taskLeaseMs + 1_000;
const leavingLimitMs = 3_000;
const configurationLimitMs = 12_000;

type Check = (world: VirtualWorld) => string | undefined;

const checks: Record<PromiseName, Check> = {
  [PromiseName.reclaimable]: checkReclaimable,
  [PromiseName.wholeGangs]: (world) => checkWholeGangs(world) ?? checkSingleAttempts(world),
  [PromiseName.ownAnswers]: checkOwnAnswers,
  [PromiseName.notRun]: checkNotRun,
  [PromiseName.atMostOnce]: checkAtMostOnce,
  [PromiseName.leavingEndpoints]: checkLeavingEndpoints,
  [PromiseName.plannedStops]: checkPlannedStops,
  [PromiseName.configuration]: checkConfiguration,
};

/** Checks all promises over everything that has happened in the world. */
export function checkPromises(world: VirtualWorld): Breach[] {
  world.workers.forEach((worker) => worker.advance(world.now));
  return Object.entries(checks).flatMap(([promise, check]) => {
    const seen = check(world);
    return seen === undefined ? [] : [{ promise: promise as PromiseName, seen }];
  });
}

// Every plan that was in force must leave all unused guarantees possible together, on all
// workers: a lost worker shrinks what can be promised, and is not the plan's doing.
function checkReclaimable(world: VirtualWorld): string | undefined {
  const guarantees = guaranteesOf(world.configuration, 'a');
  for (const plan of world.plans) {
    const ledger = new GuaranteeLedger(guarantees, plan.attempts);
    const gangs = ledger.unusedUnits().map(({ shape }) => ({
      tasks: shape.workers,
      acceleratorsPerTask: shape.acceleratorsPerWorker,
      isAdjacent: shape.adjacency === 'rack',
    }));
    if (!canPlaceTogether(racksWithoutGuaranteed(world, plan), gangs)) {
      return `plan ${plan.revision} leaves no room for the unused guarantees`;
    }
  }
  return undefined;
}

function racksWithoutGuaranteed(world: VirtualWorld, plan: Plan): number[][] {
  const ids = [...world.workers.keys()].filter((id) => id.startsWith('a-'));
  const held = new Map<string, number>();
  plan.attempts
    .filter((attempt) => attempt.guarantee !== undefined)
    .flatMap((attempt) => attempt.tasks)
    .filter((task) => !task.isStopped)
    .forEach((task) => held.set(task.workerId, (held.get(task.workerId) ?? 0) + task.accelerators));
  const free = ids.map((id) => Math.max(0, acceleratorsPerWorker - (held.get(id) ?? 0)));
  return Array.from({ length: Math.ceil(free.length / workersPerRack) }, (_, rack) =>
    free.slice(rack * workersPerRack, (rack + 1) * workersPerRack),
  );
}

function checkWholeGangs(world: VirtualWorld): string | undefined {
  for (const [attemptId, runs] of runsBy(world, (run) => run.attemptId)) {
    const parts = partsOf(world, attemptId);
    const partialMs = longestPartialRun(runs, parts, world.now);
    if (partialMs > partialRunLimitMs) {
      return `attempt ${attemptId}: parts ran for ${partialMs} ms without the rest`;
    }
  }
  return undefined;
}

// Workers on which the attempt was to run, from the newest plan that names it.
function partsOf(world: VirtualWorld, attemptId: string): number {
  const attempt = world.plans
    .toReversed()
    .flatMap((plan) => plan.attempts)
    .find((candidate) => candidate.id === attemptId);
  return new Set(attempt?.tasks.map((task) => task.workerId)).size;
}

function longestPartialRun(runs: readonly RunRecord[], parts: number, now: number): number {
  const marks = runs.flatMap((run) => [
    { at: run.startedAt, change: 1 },
    { at: run.endedAt ?? now, change: -1 },
  ]);
  marks.sort((left, right) => left.at - right.at || right.change - left.change);
  let running = 0;
  let since = 0;
  let longest = 0;
  marks.forEach(({ at, change }) => {
    const wasPartial = running > 0 && running < parts;
    if (wasPartial) {
      longest = Math.max(longest, at - since);
    }
    running += change;
    since = wasPartial && running > 0 && running < parts ? since : at;
  });
  return longest;
}

function checkSingleAttempts(world: VirtualWorld): string | undefined {
  for (const [jobId, runs] of runsBy(world, (run) => run.jobId)) {
    const sorted = [...runs].sort((left, right) => left.startedAt - right.startedAt);
    for (const [index, run] of sorted.entries()) {
      const overlap = sorted
        .slice(0, index)
        .find(
          (other) =>
            other.attemptId !== run.attemptId && (other.endedAt ?? world.now) > run.startedAt,
        );
      if (overlap !== undefined) {
        return `job ${jobId}: attempts ${overlap.attemptId} and ${run.attemptId} ran together`;
      }
    }
  }
  return undefined;
}

function runsBy(world: VirtualWorld, keyOf: (run: RunRecord) => string): Map<string, RunRecord[]> {
  const groups = new Map<string, RunRecord[]>();
  world.workers.forEach((worker) => {
    worker.runs.forEach((run) => {
      groups.set(keyOf(run), [...(groups.get(keyOf(run)) ?? []), run]);
    });
  });
  return groups;
}

function checkOwnAnswers(world: VirtualWorld): string | undefined {
  const wrong = world.caller.records.find(
    ({ result, requestId }) =>
      result?.outcome === AttemptOutcome.answered &&
      Buffer.from(result.answer.body).toString() !== requestId,
  );
  return wrong && `${wrong.requestId} received another answer`;
}

function checkNotRun(world: VirtualWorld): string | undefined {
  const runs = countRuns(world);
  // A repeat under a key may be refused while the first request runs, so keys are counted whole.
  const wrong = world.caller.records.find(({ result, requestId }) => {
    const same = world.caller.records.filter((record) => record.requestId === requestId);
    const isRefused = same.every((record) => record.result?.outcome === AttemptOutcome.notRun);
    return result?.outcome === AttemptOutcome.notRun && isRefused && runs.has(requestId);
  });
  return wrong && `${wrong.requestId} was refused as not run and ran`;
}

function checkAtMostOnce(world: VirtualWorld): string | undefined {
  const runs = countRuns(world);
  const wrong = world.caller.records.find(
    ({ isIdempotent, requestId }) => !isIdempotent && (runs.get(requestId) ?? 0) > 1,
  );
  return wrong && `${wrong.requestId} ran ${runs.get(wrong.requestId)} times`;
}

function countRuns(world: VirtualWorld): Map<string, number> {
  const counts = new Map<string, number>();
  world.endpoints.forEach((endpoint) => {
    endpoint.runs.forEach(({ requestId }) => {
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    });
  });
  return counts;
}

function checkLeavingEndpoints(world: VirtualWorld): string | undefined {
  for (const endpoint of world.endpoints.values()) {
    const late = endpoint.runs.find((run) => run.at > endpoint.leavingSince + leavingLimitMs);
    if (late !== undefined) {
      return `${endpoint.id} got ${late.requestId} ${late.at - endpoint.leavingSince} ms after leaving`;
    }
  }
  return undefined;
}

// Requests to an instance that was never killed must have ended by now.
function checkPlannedStops(world: VirtualWorld): string | undefined {
  const cut = world.caller.records.find(
    ({ result, instance }) => result === undefined && !world.network.isDead(instance.name),
  );
  return cut && `${cut.requestId} sent to ${cut.instance.name} has no answer`;
}

function checkConfiguration(world: VirtualWorld): string | undefined {
  for (const { name, revisions } of world.instances) {
    if (revisions.some((revision, index) => revision <= (revisions[index - 1] ?? 0))) {
      return `${name} went through revisions ${revisions.join(', ')}`;
    }
  }
  const due = world.accepted.filter(({ at }) => at + configurationLimitMs <= world.now);
  const newest = Math.max(0, ...due.map(({ revision }) => revision));
  const behind = world
    .liveInstances()
    .find((instance) => instance.core.configurations.revision < newest);
  return (
    behind && `${behind.name} has revision ${behind.core.configurations.revision} of ${newest}`
  );
}
