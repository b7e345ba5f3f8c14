import type { Clock } from '@apricothoist/common';
import { Urgency } from '@apricothoist/config';
import type { Queue, QueueAddOptions } from 'p-queue';

import type { Ticket } from './Ticket.js';

/** Options of a queued request: its ticket decides the order. */
export interface TicketOptions extends QueueAddOptions {
  readonly ticket: Ticket;
}

type Run = () => Promise<unknown>;

interface Entry {
  readonly run: Run;
  readonly options: TicketOptions;
  readonly sequence: number;
}

/** One account's requests of one urgency, oldest first. */
interface Lane {
  readonly account: string;
  readonly entries: Entry[];
  /** Monotonic milliseconds at which a request was last taken, or began to wait. */
  movedAt: number;
  /** Mean time in milliseconds between two takings while requests wait; 0 until known. */
  intervalMs: number;
}

const urgencies = [Urgency.urgent, Urgency.normal, Urgency.batch] as const;
/** Every so many dequeues, the request that has waited longest goes first, whatever its urgency. */
const agingInterval = 8;
/** Weight of the newest time between two takings. */
const newestWeight = 0.1;

/** Weight of an account in sharing slots. */
export type WeightOf = (account: string) => number;

/**
 * Queue class for p-queue. Urgent requests go before normal ones and those before batch; among
 * accounts of one urgency, the one that has been served least for its weight goes first. Every
 * eighth turn goes to the request that has waited longest, so none waits forever.
 */
export class FairQueue implements Queue<Run, TicketOptions> {
  /** Lanes by urgency, then account. */
  private readonly lanes: Record<Urgency, Map<string, Lane>> = {
    urgent: new Map(),
    normal: new Map(),
    batch: new Map(),
  };

  /** Served requests divided by weight, by account. */
  private readonly served = new Map<string, number>();

  private count = 0;

  private sequence = 0;

  private turn = 0;

  /** Service received by the account that was served last; late comers start from it. */
  private floor = 0;

  public constructor(
    private readonly weightOf: WeightOf,
    private readonly clock: Clock,
  ) {}

  public get size(): number {
    return this.count;
  }

  public filter(options: Readonly<Partial<TicketOptions>>): Run[] {
    const { ticket } = options;
    return this.entries()
      .filter((entry) => ticket === undefined || entry.options.ticket === ticket)
      .map((entry) => entry.run);
  }

  public enqueue(run: Run, options?: Partial<TicketOptions>): void {
    const ticket = options?.ticket;
    if (ticket === undefined) {
      throw new TypeError('a queued request needs a ticket');
    }
    const lane = this.laneOf(ticket);
    if (!this.isWaiting(ticket.account)) {
      const before = this.served.get(ticket.account) ?? 0;
      this.served.set(ticket.account, Math.max(before, this.floor));
    }
    const entry = { run, options: { ...options, ticket }, sequence: this.sequence };
    this.sequence += 1;
    if (lane.entries.length === 0) {
      lane.movedAt = this.clock.monotonic();
    }
    // A request that comes back after a busy endpoint takes its old place.
    const place = lane.entries.findLastIndex(
      (other) => other.options.ticket.arrivedAt <= ticket.arrivedAt,
    );
    lane.entries.splice(place + 1, 0, entry);
    this.count += 1;
  }

  public dequeue(): Run | undefined {
    if (this.count === 0) {
      return undefined;
    }
    this.turn += 1;
    const lane = this.turn % agingInterval === 0 ? this.oldestLane() : this.nextLane();
    return lane === undefined ? undefined : this.takeFrom(lane).run;
  }

  /** Takes a request out that has been answered without running. */
  public withdraw(ticket: Ticket): void {
    const { entries } = this.laneOf(ticket);
    const place = entries.findIndex((entry) => entry.options.ticket === ticket);
    if (place >= 0) {
      entries.splice(place, 1);
      this.count -= 1;
    }
  }

  public setPriority(): void {
    throw new TypeError('the order follows from the tickets');
  }

  /** Queued requests of an account at this urgency or a more pressing one. */
  public backlog(account: string, urgency: Urgency): number {
    return urgencies
      .slice(0, urgencies.indexOf(urgency) + 1)
      .reduce((sum, item) => sum + (this.lanes[item].get(account)?.entries.length ?? 0), 0);
  }

  /**
   * Milliseconds that the next request of the account would wait at the pace at which its queue
   * has moved lately; 0 when nothing waits there.
   */
  public paceWaitMs(account: string, urgency: Urgency): number {
    const lane = this.lanes[urgency].get(account);
    return lane === undefined ? 0 : this.laneWaitMs(lane, lane.entries.length);
  }

  /** Tickets that would start after their deadline at the pace of their queue. */
  public hopeless(isHopeless: (ticket: Ticket, waitMs: number) => boolean): Ticket[] {
    return urgencies.flatMap((urgency) =>
      [...this.lanes[urgency].values()].flatMap((lane) =>
        lane.entries
          .filter((entry, place) => isHopeless(entry.options.ticket, this.laneWaitMs(lane, place)))
          .map((entry) => entry.options.ticket),
      ),
    );
  }

  /** Queued requests of all accounts that are more pressing than `urgency`. */
  public backlogAbove(urgency: Urgency): number {
    return urgencies
      .slice(0, urgencies.indexOf(urgency))
      .flatMap((item) => [...this.lanes[item].values()])
      .reduce((sum, lane) => sum + lane.entries.length, 0);
  }

  /** Accounts with requests of this urgency in the queue. */
  public waitingAccounts(urgency: Urgency): string[] {
    return [...this.lanes[urgency].values()]
      .filter((lane) => lane.entries.length > 0)
      .map((lane) => lane.account);
  }

  private entries(): Entry[] {
    return urgencies.flatMap((urgency) =>
      [...this.lanes[urgency].values()].flatMap((lane) => lane.entries),
    );
  }

  private laneOf(ticket: Ticket): Lane {
    const lanes = this.lanes[ticket.urgency];
    const known = lanes.get(ticket.account);
    if (known !== undefined) {
      return known;
    }
    const { account } = ticket;
    const lane: Lane = { account, entries: [], movedAt: 0, intervalMs: 0 };
    lanes.set(account, lane);
    return lane;
  }

  private isWaiting(account: string): boolean {
    return urgencies.some((urgency) => (this.lanes[urgency].get(account)?.entries.length ?? 0) > 0);
  }

  private nextLane(): Lane | undefined {
    for (const urgency of urgencies) {
      const lane = this.leastServed(urgency);
      if (lane !== undefined) {
        return lane;
      }
    }
    return undefined;
  }

  private leastServed(urgency: Urgency): Lane | undefined {
    let best: Lane | undefined;
    for (const lane of this.lanes[urgency].values()) {
      const isBetter = best === undefined || this.servedOf(lane) < this.servedOf(best);
      if (lane.entries.length > 0 && isBetter) {
        best = lane;
      }
    }
    return best;
  }

  private oldestLane(): Lane | undefined {
    let best: Lane | undefined;
    let bestArrival = Infinity;
    for (const urgency of urgencies) {
      for (const lane of this.lanes[urgency].values()) {
        const arrivedAt = lane.entries[0]?.options.ticket.arrivedAt ?? Infinity;
        if (arrivedAt < bestArrival) {
          best = lane;
          bestArrival = arrivedAt;
        }
      }
    }
    return best;
  }

  private servedOf(lane: Lane): number {
    return this.served.get(lane.account) ?? 0;
  }

  private laneWaitMs(lane: Lane, place: number): number {
    const sinceMoved = this.clock.monotonic() - lane.movedAt;
    return lane.entries.length === 0 ? 0 : Math.max(lane.intervalMs, sinceMoved) * place;
  }

  private noteTaken(lane: Lane): void {
    const now = this.clock.monotonic();
    const weight = lane.intervalMs === 0 ? 1 : newestWeight;
    lane.intervalMs += weight * (now - lane.movedAt - lane.intervalMs);
    lane.movedAt = now;
  }

  private takeFrom(lane: Lane): Entry {
    const entry = lane.entries.shift();
    if (entry === undefined) {
      throw new RangeError(`no request of account "${lane.account}" is queued`);
    }
    this.count -= 1;
    this.noteTaken(lane);
    this.floor = Math.max(this.floor, this.servedOf(lane));
    const weight = Math.max(1, this.weightOf(lane.account));
    this.served.set(lane.account, this.servedOf(lane) + 1 / weight);
    return entry;
  }
}
