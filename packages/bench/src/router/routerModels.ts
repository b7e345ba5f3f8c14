import type { Clock } from '@apricothoist/common';
import { delay, Random } from '@apricothoist/common';
import type { RouteResult, RequestDescriptor } from '@apricothoist/router';
import { AttemptOutcome, ClaimResult, RequestRouter } from '@apricothoist/router';

import type { Arrival } from './RouterScenario.js';
import { slotsPerEndpoint, streams } from './RouterScenario.js';
import type { SimulatedEndpoint } from './SimulatedEndpoint.js';
import type { SlotStrategy } from './SlotStrategy.js';
import { createEndpointTable } from './SlotStrategy.js';

/** One router instance under a policy. */
export interface RouterModel {
  /** Routes a request; resolves with whether it was answered. */
  handle(arrival: Arrival, descriptor: RequestDescriptor): Promise<boolean>;
  /** Requests that this instance has in flight at an endpoint. */
  inFlightAt(endpointId: string): number;
  /** Sets the number of requests that the peers have in flight, by endpoint. */
  setPeerLoads(loads: ReadonlyMap<string, number>): void;
}

const accountRequestLimit = 100_000;

/** The production router with simulated endpoints. */
export class ProductionRouter implements RouterModel {
  private readonly router: RequestRouter<Arrival, undefined>;

  private readonly table;

  public constructor(
    instanceId: string,
    members: readonly string[],
    endpoints: readonly SimulatedEndpoint[],
    strategy: SlotStrategy,
    clock: Clock,
    seed: number,
  ) {
    const random = new Random(seed);
    this.table = createEndpointTable(strategy, instanceId, slotsPerEndpoint, random);
    const endpointsById = new Map(endpoints.map((endpoint) => [endpoint.id, endpoint]));
    const endpointInfos = endpoints.map(({ id }) => ({ id, address: id, isLeaving: false }));
    this.table.update(endpointInfos, clock.monotonic());
    this.table.setMembers(members);
    this.router = new RequestRouter<Arrival, undefined>(
      {
        clock,
        random,
        endpoints: this.table,
        sender: {
          send: async (endpoint, _, arrival) => {
            const wasRun = await endpointsById.get(endpoint.id)?.run(arrival.runMs);
            return wasRun === true
              ? { outcome: AttemptOutcome.answered, answer: undefined, isFailure: false }
              : { outcome: AttemptOutcome.notRun, isBusy: true, isLeaving: false };
          },
        },
        peers: { forward: () => undefined },
        claims: { claim: async () => ClaimResult.granted, release: async () => {} },
        weightOf: (account) => streams.find((item) => item.account === account)?.weight ?? 1,
        limitOf: () => accountRequestLimit,
      },
      { timeoutMs: 5_000, retryPercent: 20 },
    );
  }

  public async handle(arrival: Arrival, descriptor: RequestDescriptor): Promise<boolean> {
    const result: RouteResult<undefined> = await this.router.route(descriptor, arrival);
    return result.outcome === AttemptOutcome.answered;
  }

  public inFlightAt(endpointId: string): number {
    return this.table.get(endpointId)?.inFlight ?? 0;
  }

  public setPeerLoads(loads: ReadonlyMap<string, number>): void {
    this.table.all.forEach((endpoint) => {
      endpoint.peerInFlight = loads.get(endpoint.id) ?? 0;
    });
  }
}

/** Endpoint selection of a baseline router. */
export const BaselineChoice = { random: 'random', roundRobin: 'round-robin' } as const;
export type BaselineChoice = (typeof BaselineChoice)[keyof typeof BaselineChoice];

const maxBaselineAttempts = 4;

/**
 * Baseline router: a FIFO queue with a fixed share of the slots. Fails a request that leaves the queue
 * after its deadline.
 */
export class BaselineRouter implements RouterModel {
  private readonly waiters: (() => void)[] = [];

  private runningCount = 0;

  private nextIndex = 0;

  private readonly random: Random;

  public constructor(
    private readonly choice: BaselineChoice,
    private readonly concurrency: number,
    private readonly endpoints: readonly SimulatedEndpoint[],
    private readonly clock: Clock,
    seed: number,
  ) {
    this.random = new Random(seed);
    this.nextIndex = this.random.below(endpoints.length);
  }

  public async handle(arrival: Arrival, descriptor: RequestDescriptor): Promise<boolean> {
    await this.acquireSlot();
    try {
      if (this.clock.monotonic() >= descriptor.deadline) {
        return false;
      }
      return await this.send(arrival);
    } finally {
      this.releaseSlot();
    }
  }

  public inFlightAt(): number {
    return 0;
  }

  public setPeerLoads(): void {
    // A baseline router does not use the load of its peers.
  }

  private async send(arrival: Arrival): Promise<boolean> {
    for (let attempt = 0; attempt < maxBaselineAttempts; attempt += 1) {
      if ((await this.pickEndpoint()?.run(arrival.runMs)) === true) {
        return true;
      }
      await delay(5);
    }
    return false;
  }

  private pickEndpoint(): SimulatedEndpoint | undefined {
    this.nextIndex += 1;
    return this.choice === BaselineChoice.random
      ? this.random.pick(this.endpoints)
      : this.endpoints[this.nextIndex % this.endpoints.length];
  }

  private async acquireSlot(): Promise<void> {
    if (this.runningCount < this.concurrency) {
      this.runningCount += 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.waiters.push(resolve);
    });
  }

  private releaseSlot(): void {
    const resume = this.waiters.shift();
    if (resume === undefined) {
      this.runningCount -= 1;
    } else {
      resume();
    }
  }
}
