import { ConfigurationKeeper, RenewalFence, StoreClaims } from '@apricothoist/daemon/core';
import { AttemptOutcome, ClaimResult, EndpointTable, RequestRouter } from '@apricothoist/router';
import { GuaranteeFeasibility, PlacementSearch } from '@apricothoist/scheduler';
import { WorkerModel } from '@apricothoist/testing';

import { PromiseName } from './PromiseChecks.js';

/** A fault seeded into the product, and the cell in which a check has to see it. */
export interface Defect {
  readonly name: string;
  readonly promise: PromiseName;
  readonly flow: string;
  readonly fault: string;
  /** Puts the defect in and returns what takes it out again. */
  readonly plant: () => () => void;
}

/** Methods of a class by name; private ones too. */
type Methods = Record<string, unknown>;

/** Replaces methods of a class, and returns what puts them back. */
function replace(target: { readonly prototype: object }, methods: Methods): () => void {
  const prototype = target.prototype as Methods;
  const names = Object.keys(methods);
  const before = names.map((name) => Object.getOwnPropertyDescriptor(prototype, name));
  names.forEach((name) => {
    Object.defineProperty(prototype, name, { value: methods[name], configurable: true });
  });
  return () => {
    names.forEach((name, index) => {
      Object.defineProperty(prototype, name, before[index] as PropertyDescriptor);
    });
  };
}

function both(first: () => void, second: () => void): () => void {
  return () => {
    first();
    second();
  };
}

// Puts every task on a worker of its own, alternating between racks.
function scatter(): () => void {
  return replace(PlacementSearch, {
    find(
      capacity: Parameters<PlacementSearch['find']>[0],
      shape: Parameters<PlacementSearch['find']>[1],
    ) {
      const whole = 8;
      const empty = capacity.workers
        .map((_, worker) => worker)
        .filter((worker) => capacity.freeOf(worker) === whole)
        .sort((left, right) => (left % 3) - (right % 3))
        .slice(0, shape.workers);
      const shares = empty.map((worker) => ({ worker, tasks: 1 }));
      return shares.length < shape.workers ? [] : [{ shares, fragmentationCost: 0, leftover: 0 }];
    },
  });
}

/** Defects by the promise that they break. */
export const defects: readonly Defect[] = [
  {
    name: 'placements are not checked against the other guarantees',
    promise: PromiseName.reclaimable,
    flow: 'many singles',
    fault: 'none',
    plant: () => both(scatter(), replace(GuaranteeFeasibility, { canPlaceAll: () => true })),
  },
  {
    name: 'workers go on when their lease has ended',
    promise: PromiseName.wholeGangs,
    flow: 'gang run',
    fault: 'busy worker cut from all instances',
    plant: () => {
      const original = (WorkerModel.prototype as unknown as Methods).advanceRunning as (
        task: { leaseUntil: number },
        now: number,
      ) => void;
      return replace(WorkerModel, {
        advanceRunning(task: { leaseUntil: number }, now: number) {
          task.leaseUntil = Infinity;
          original.call(this, task, now);
        },
      });
    },
  },
  {
    name: 'a lost part is taken for ended at once',
    promise: PromiseName.wholeGangs,
    flow: 'gang run',
    fault: 'busy worker cut from all instances',
    plant: () => replace(RenewalFence, { revision: () => Infinity }),
  },
  {
    name: 'answers reach the caller before',
    promise: PromiseName.ownAnswers,
    flow: 'request',
    fault: 'none',
    plant: () => {
      const original = (RequestRouter.prototype as unknown as Methods).finish as (
        course: unknown,
        result: { outcome: AttemptOutcome },
      ) => void;
      let last: { outcome: AttemptOutcome } | undefined;
      return replace(RequestRouter, {
        finish(course: unknown, result: { outcome: AttemptOutcome }) {
          const crossed = last ?? result;
          last = result;
          original.call(this, course, crossed);
        },
      });
    },
  },
  {
    name: 'unknown outcomes are called not run',
    promise: PromiseName.notRun,
    flow: 'request',
    fault: 'endpoint truncates answers',
    plant: () =>
      replace(RequestRouter, {
        refusal: (reason: string) => ({
          outcome: AttemptOutcome.notRun,
          reason,
          retryAfterMs: 100,
        }),
      }),
  },
  {
    name: 'every claim is granted',
    promise: PromiseName.atMostOnce,
    flow: 'request',
    fault: 'none',
    plant: () => replace(StoreClaims, { claim: async () => ClaimResult.granted }),
  },
  {
    name: 'signs of leaving are ignored',
    promise: PromiseName.leavingEndpoints,
    flow: 'request',
    fault: 'endpoint leaves',
    plant: () => replace(EndpointTable, { markLeaving: () => false }),
  },
  {
    name: 'a stopping instance drops its open requests',
    promise: PromiseName.plannedStops,
    flow: 'planned stop',
    fault: 'none',
    plant: () =>
      replace(RequestRouter, {
        async stop(this: {
          pendingRequests: { all: { isSettled: boolean }[] };
          isStopping: boolean;
        }) {
          this.isStopping = true;
          this.pendingRequests.all.forEach((request) => {
            request.isSettled = true;
          });
        },
      }),
  },
  {
    name: 'configurations are taken over again and again',
    promise: PromiseName.configuration,
    flow: 'configuration change',
    fault: 'none',
    plant: () => {
      const descriptor = Object.getOwnPropertyDescriptor(
        ConfigurationKeeper.prototype,
        'revision',
      ) as PropertyDescriptor;
      Object.defineProperty(ConfigurationKeeper.prototype, 'revision', {
        get: () => 0,
        configurable: true,
      });
      return () => {
        Object.defineProperty(ConfigurationKeeper.prototype, 'revision', descriptor);
      };
    },
  },
  {
    name: 'newer configurations of the store are not read',
    promise: PromiseName.configuration,
    flow: 'configuration change',
    fault: 'none',
    plant: () => {
      const original = ConfigurationKeeper.prototype.offer;
      return replace(ConfigurationKeeper, {
        offer(this: ConfigurationKeeper, candidate: Parameters<typeof original>[0]) {
          if (candidate.revision === 1) {
            original.call(this, candidate);
          }
        },
      });
    },
  },
];
