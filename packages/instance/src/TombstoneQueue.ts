/** Calls that may be sent in a burst, and milliseconds until one more is allowed. */
const maxBurstCalls = 8;
const callIntervalMs = 3_000;
/** Shortest time in milliseconds between two calls of a burst, in which others are gathered. */
const minIntervalMs = 500;
/** Calls of a burst that are kept for clients that were not served lately. */
const reservedCalls = 3;
/** Milliseconds for which a client counts as served lately; a flood must not use up the reserve. */
const servedLatelyMs = 5 * callIntervalMs;

interface QueuedEntry {
  /** Client account, or queue where no account is known; clients share the calls equally. */
  readonly client: string;
}

/**
 * Queue of tombstones that wait to be stored, with the pace of the calls that store them.
 *
 * Load pattern: a client cancels thousands of jobs that never existed, at all instances. The calls
 * stay a small part of those that the store allows, and other clients are not delayed by it.
 */
export class TombstoneQueue<Entry extends QueuedEntry> {
  /** Waiting entries by client; the one that was served longest ago comes first. */
  private readonly waiting = new Map<string, Entry[]>();

  /** Times at which clients were served last, if that was lately. */
  private readonly servedAt = new Map<string, number>();

  /** Calls that were left at `countedAt`, the time of the last one. */
  private callsLeft = maxBurstCalls;

  private countedAt = -Infinity;

  /** @param maxBatch entries that one call can store */
  public constructor(private readonly maxBatch: number) {}

  public add(entry: Entry): void {
    this.waiting.set(entry.client, [...(this.waiting.get(entry.client) ?? []), entry]);
  }

  public remove(entry: Entry): void {
    const left = this.waiting.get(entry.client)?.filter((each) => each !== entry) ?? [];
    if (left.length > 0) {
      this.waiting.set(entry.client, left);
    } else {
      this.waiting.delete(entry.client);
    }
  }

  /** Time in milliseconds at which the next call may be sent; Infinity if nothing waits. */
  public nextCallAt(now: number): number {
    return Math.min(...[...this.waiting.keys()].map((client) => this.callTime(client, now)));
  }

  /** Time in milliseconds at which an entry of the client would be sent if it were added now. */
  public expectedAt(client: string, now: number): number {
    const clients = new Set([...this.waiting.keys(), client]).size;
    const share = Math.max(1, Math.floor(this.maxBatch / clients));
    const callsBefore = Math.floor((this.waiting.get(client)?.length ?? 0) / share);
    const spareCalls = Math.max(0, Math.floor(this.callsAt(now)) - reservedCalls - 1);
    const firstAt = Math.min(this.callTime(client, now), this.nextCallAt(now));
    const burstMs = Math.min(callsBefore, spareCalls) * minIntervalMs;
    return firstAt + burstMs + Math.max(0, callsBefore - spareCalls) * callIntervalMs;
  }

  /** Takes the entries of one call, which counts as sent now: one of each client by turns. */
  public takeBatch(now: number): readonly Entry[] {
    this.callsLeft = this.callsAt(now) - 1;
    this.countedAt = now;
    const batch: Entry[] = [];
    for (let entry = this.takeNext(); entry !== undefined; entry = this.takeNext()) {
      batch.push(entry);
      if (batch.length === this.maxBatch) {
        break;
      }
    }
    batch.forEach(({ client }) => this.servedAt.set(client, now));
    this.servedAt.forEach((servedAt, client) => {
      if (servedAt + servedLatelyMs <= now) {
        this.servedAt.delete(client);
      }
    });
    return batch;
  }

  // The client is served again after all others.
  private takeNext(): Entry | undefined {
    const [client] = this.waiting.keys();
    if (client === undefined) {
      return undefined;
    }
    const [entry, ...left] = this.waiting.get(client) ?? [];
    this.waiting.delete(client);
    if (left.length > 0) {
      this.waiting.set(client, left);
    }
    return entry;
  }

  private callsAt(now: number): number {
    const regained = (now - this.countedAt) / callIntervalMs;
    return Math.min(maxBurstCalls, this.callsLeft + regained);
  }

  private callTime(client: string, now: number): number {
    const calls = this.callsAt(now);
    const waitFor = (needed: number): number => now + Math.max(0, needed - calls) * callIntervalMs;
    const reserveAt = Math.max(now, (this.servedAt.get(client) ?? -Infinity) + servedLatelyMs);
    const allowedAt = Math.min(waitFor(reservedCalls + 1), Math.max(waitFor(1), reserveAt));
    return Math.max(allowedAt, this.countedAt + minIntervalMs);
  }
}
