import { ConfigurationCache, RenewalFence, StoreClaims } from '@apricothoist/daemon/core';
import { AttemptOutcome, ClaimResult, EndpointTable, RequestRouter } from '@apricothoist/router';
import { GuaranteeFeasibility, PlacementSearch } from '@apricothoist/scheduler';
import { WorkerModel } from '@apricothoist/testing';

import { Invariant } from './invariantChecks.js';

/** A defect to inject into the product, and the cell in which the checks must detect it. */
export interface Defect {
  readonly name: string;
  readonly invariant: Invariant;
  readonly flow: string;
  readonly fault: string;
  /** Injects the defect and returns a function that removes it. */
  readonly inject: () => () => void;
}

/** Methods of a class by name, private ones included. */
type Methods = Record<string, unknown>;

/** Replaces methods of a class and returns a function that restores them. */
function replaceMethods(target: { readonly prototype: object }, methods: Methods): () => void {
  const prototype = target.prototype as Methods;
  const names = Object.keys(methods);
  const originals = names.map((name) => Object.getOwnPropertyDescriptor(prototype, name));
  names.forEach((name) => {
    Object.defineProperty(prototype, name, { value: methods[name], configurable: true });
  });
  return () => {
    names.forEach((name, index) => {
      Object.defineProperty(prototype, name, originals[index] as PropertyDescriptor);
    });
  };
}

function combineRestores(first: () => void, second: () => void): () => void {
  return () => {
    first();
    second();
  };
}

// Places every task on an empty worker of its own, alternating between racks.
function scatterPlacements(): () => void {
  return replaceMethods(PlacementSearch, {
    find(
      capacity: Parameters<PlacementSearch['find']>[0],
      shape: Parameters<PlacementSearch['find']>[1],
    ) {
      const acceleratorsPerEmptyWorker = 8;
      const empty = capacity.workers
        .map((_, worker) => worker)
        .filter((worker) => capacity.freeOf(worker) === acceleratorsPerEmptyWorker)
        .sort((left, right) => (left % 3) - (right % 3))
        .slice(0, shape.workers);
      const shares = empty.map((worker) => ({ worker, tasks: 1 }));
      return shares.length < shape.workers ? [] : [{ shares, fragmentationCost: 0, leftover: 0 }];
    },
  });
}

/** At least one defect for each invariant. */
export const defects: readonly Defect[] = [
  {
    name: 'placements are not checked against the other guarantees',
    invariant: Invariant.reclaimable,
    flow: 'many singles',
    fault: 'none',
    inject: () =>
      combineRestores(
        scatterPlacements(),
        replaceMethods(GuaranteeFeasibility, { canPlaceAll: () => true }),
      ),
  },
  {
    name: 'workers go on when their lease has ended',
    invariant: Invariant.wholeGangs,
    flow: 'gang run',
    fault: 'busy worker cut from all instances',
    inject: () => {
      const original = (WorkerModel.prototype as unknown as Methods).advanceRunning as (
        task: { leaseUntil: number },
        now: number,
      ) => void;
      return replaceMethods(WorkerModel, {
        advanceRunning(task: { leaseUntil: number }, now: number) {
          task.leaseUntil = Infinity;
          original.call(this, task, now);
        },
      });
    },
  },
  {
    name: 'a lost part is taken for ended at once',
    invariant: Invariant.wholeGangs,
    flow: 'gang run',
    fault: 'busy worker cut from all instances',
    inject: () => replaceMethods(RenewalFence, { revision: () => Infinity }),
  },
  {
    name: 'answers reach the caller before',
    invariant: Invariant.ownResponses,
    flow: 'request',
    fault: 'none',
    inject: () => {
      const original = (RequestRouter.prototype as unknown as Methods).finish as (
        request: unknown,
        result: { outcome: AttemptOutcome },
      ) => void;
      let previousResult: { outcome: AttemptOutcome } | undefined;
      return replaceMethods(RequestRouter, {
        finish(request: unknown, result: { outcome: AttemptOutcome }) {
          const swappedResult = previousResult ?? result;
          previousResult = result;
          original.call(this, request, swappedResult);
        },
      });
    },
  },
  {
    name: 'unknown outcomes are called not run',
    invariant: Invariant.notRun,
    flow: 'request',
    fault: 'endpoint truncates answers',
    inject: () =>
      replaceMethods(RequestRouter, {
        refusal: (reason: string) => ({
          outcome: AttemptOutcome.notRun,
          reason,
          retryAfterMs: 100,
        }),
      }),
  },
  {
    name: 'every claim is granted',
    invariant: Invariant.atMostOnce,
    flow: 'request',
    fault: 'none',
    inject: () => replaceMethods(StoreClaims, { claim: async () => ClaimResult.granted }),
  },
  {
    name: 'signs of leaving are ignored',
    invariant: Invariant.leavingEndpoints,
    flow: 'request',
    fault: 'endpoint leaves',
    inject: () => replaceMethods(EndpointTable, { markLeaving: () => false }),
  },
  {
    name: 'a stopping instance drops its open requests',
    invariant: Invariant.gracefulShutdowns,
    flow: 'planned stop',
    fault: 'none',
    inject: () =>
      replaceMethods(RequestRouter, {
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
    invariant: Invariant.configuration,
    flow: 'configuration change',
    fault: 'none',
    inject: () => {
      const descriptor = Object.getOwnPropertyDescriptor(
        ConfigurationCache.prototype,
        'revision',
      ) as PropertyDescriptor;
      Object.defineProperty(ConfigurationCache.prototype, 'revision', {
        get: () => 0,
        configurable: true,
      });
      return () => {
        Object.defineProperty(ConfigurationCache.prototype, 'revision', descriptor);
      };
    },
  },
  {
    name: 'newer configurations of the store are not read',
    invariant: Invariant.configuration,
    flow: 'configuration change',
    fault: 'none',
    inject: () => {
      const original = ConfigurationCache.prototype.offer;
      return replaceMethods(ConfigurationCache, {
        offer(this: ConfigurationCache, candidate: Parameters<typeof original>[0]) {
          if (candidate.revision === 1) {
            original.call(this, candidate);
          }
        },
      });
    },
  },
];
