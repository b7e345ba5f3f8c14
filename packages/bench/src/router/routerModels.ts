import type { Clock } from '@apricothoist/common';
import { delay, Random } from '@apricothoist/common';
import type { RouteResult, RequestDescriptor } from '@apricothoist/router';
import { AttemptOutcome, ClaimResult, RequestRouter } from '@apricothoist/router';

import type { Arrival } from './RouterScenario.js';
import { slotsPerEndpoint, streams } from './RouterScenario.js';
import type { SlotEndpoint } from './SlotEndpoint.js';
import type { SlotWay } from './SlotWays.js';
import { createTable } from './SlotWays.js';

/** One instance of a policy under test. */
export interface RouterModel {
  /** Resolves with whether the request was answered. */
  handle(arrival: Arrival, ticket: RequestDescriptor): Promise<boolean>;
  /** Requests that this instance has in flight at an endpoint. */
  inFlightAt(endpointId: string): number;
  /** Takes over what peers have in flight. */
  setPeerLoads(loads: ReadonlyMap<string, number>): void;
}

const accountLimit = 100_000;

/** The product's router over simulated endpoints. */
export class ProductRouter implements RouterModel {
  private readonly router: RequestRouter<Arrival, undefined>;

  private readonly table;

  public constructor(
    instanceId: string,
    members: readonly string[],
    endpoints: readonly SlotEndpoint[],
    way: SlotWay,
    clock: Clock,
    seed: number,
  ) {
    const random = new Random(seed);
    this.table = createTable(way, instanceId, slotsPerEndpoint, random);
    const byId = new Map(endpoints.map((endpoint) => [endpoint.id, endpoint]));
    const notices = endpoints.map(({ id }) => ({ id, address: id, isLeaving: false }));
    this.table.update(notices, clock.monotonic());
    this.table.setMembers(members);
    this.router = new RequestRouter<Arrival, undefined>(
      {
        clock,
        random,
        endpoints: this.table,
        sender: {
          send: async (endpoint, _, arrival) => {
            const isRun = await byId.get(endpoint.id)?.run(arrival.runMs);
            return isRun === true
              ? { outcome: AttemptOutcome.answered, answer: undefined, isFailure: false }
              : { outcome: AttemptOutcome.notRun, isBusy: true, isLeaving: false };
          },
        },
        peers: { forward: () => undefined },
        claims: { claim: async () => ClaimResult.granted, release: async () => {} },
        weightOf: (account) => streams.find((item) => item.account === account)?.weight ?? 1,
        limitOf: () => accountLimit,
      },
      { timeoutMs: 5_000, retryPercent: 20 },
    );
  }

  public async handle(arrival: Arrival, ticket: RequestDescriptor): Promise<boolean> {
    const result: RouteResult<undefined> = await this.router.route(ticket, arrival);
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

/** How a plain router chooses endpoints. */
export const PlainChoice = { random: 'random', roundRobin: 'round-robin' } as const;
export type PlainChoice = (typeof PlainChoice)[keyof typeof PlainChoice];

const plainTries = 4;

/** First in, first out, with a fixed share of the slots; gives up when the deadline has passed. */
export class PlainRouter implements RouterModel {
  private readonly waiting: (() => void)[] = [];

  private running = 0;

  private turn = 0;

  private readonly random: Random;

  public constructor(
    private readonly choice: PlainChoice,
    private readonly concurrency: number,
    private readonly endpoints: readonly SlotEndpoint[],
    private readonly clock: Clock,
    seed: number,
  ) {
    this.random = new Random(seed);
    this.turn = this.random.below(endpoints.length);
  }

  public async handle(arrival: Arrival, ticket: RequestDescriptor): Promise<boolean> {
    await this.enter();
    try {
      if (this.clock.monotonic() >= ticket.deadline) {
        return false;
      }
      return await this.send(arrival);
    } finally {
      this.leave();
    }
  }

  public inFlightAt(): number {
    return 0;
  }

  public setPeerLoads(): void {
    // A plain router knows nothing of its peers.
  }

  private async send(arrival: Arrival): Promise<boolean> {
    for (let attempt = 0; attempt < plainTries; attempt += 1) {
      if ((await this.next()?.run(arrival.runMs)) === true) {
        return true;
      }
      await delay(5);
    }
    return false;
  }

  private next(): SlotEndpoint | undefined {
    this.turn += 1;
    return this.choice === PlainChoice.random
      ? this.random.pick(this.endpoints)
      : this.endpoints[this.turn % this.endpoints.length];
  }

  private async enter(): Promise<void> {
    if (this.running < this.concurrency) {
      this.running += 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.waiting.push(resolve);
    });
  }

  private leave(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.running -= 1;
    } else {
      next();
    }
  }
}
