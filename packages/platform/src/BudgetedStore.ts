import type { Clock, Event, Random } from '@apricothoist/common';
import { createIdentifier, delay, Emitter } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { CallBudget } from './CallBudget.js';
import type { Store, StoreTransport, StoredValue, Versioned } from './Store.js';
import { StoreError, StoreErrorKind } from './StoreError.js';
import type { StoreState } from './StoreHealth.js';
import { CallOutcome, StoreHealth } from './StoreHealth.js';

/** Limits on the store calls of one instance. */
export interface StoreLimits {
  readonly callsPerSecond: number;
  /**
   * Calls per second reserved for scheduling and for receiving changes. Calls on behalf of requests
   * cannot use them, so that a flood of requests does not block the work of the instance.
   */
  readonly reservedPerSecond: number;
  /** Time-out of a call in milliseconds. */
  readonly callTimeoutMs: number;
}

/** A value with the identifier of its write, which is needed to resolve a lost response. */
interface Envelope<T> {
  readonly writeId: string;
  readonly data: T;
}

type Outcome<T> = Result<T, StoreError>;

const maxResolveAttempts = 4;
const initialResolveDelayMs = 20;

const outcomeOfError: Record<StoreErrorKind, CallOutcome | undefined> = {
  conflict: CallOutcome.answered,
  unknown: CallOutcome.late,
  timeout: CallOutcome.late,
  unavailable: CallOutcome.failed,
  malformed: CallOutcome.failed,
  overBudget: undefined,
};

/**
 * Store client of one instance: call budget, fast failure in an outage, recovery of lost responses.
 */
export class BudgetedStore implements Store {
  private readonly budget: CallBudget;

  private readonly health: StoreHealth;

  private readonly pendingReads = new Map<string, Promise<Outcome<StoredValue | undefined>>>();

  private readonly stateChanged = new Emitter<StoreState>();

  /** Fires when the store becomes slow, down or up. */
  public readonly onStateChange: Event<StoreState> = this.stateChanged.event;

  /** Number of calls since the start, including watches. */
  public calls = 0;

  public constructor(
    private readonly transport: StoreTransport,
    private readonly clock: Clock,
    random: Random,
    private readonly limits: StoreLimits,
  ) {
    this.budget = new CallBudget(limits.callsPerSecond, clock.monotonic());
    this.health = new StoreHealth(random);
  }

  public get state(): StoreState {
    return this.health.state;
  }

  /** Monotonic time in milliseconds at which a refused call can be retried. */
  public get retryAt(): number {
    const now = this.clock.monotonic();
    return Math.max(this.health.admitAt(now), this.budget.availableAt(now));
  }

  public async read<T>(key: string): Promise<Outcome<Versioned<T> | undefined>> {
    const stored = await this.readCoalesced(key);
    return stored.andThen((value) => (value === undefined ? ok(undefined) : decode<T>(value)));
  }

  public async list<T>(
    prefix: string,
  ): Promise<Outcome<readonly (Versioned<T> & { key: string })[]>> {
    const listed = await this.call((deadline) => this.transport.list(prefix, deadline));
    return listed.andThen((values) => {
      const decoded: (Versioned<T> & { key: string })[] = [];
      for (const value of values) {
        const item = decode<T>(value);
        if (item.isErr()) {
          return err(item.error);
        }
        decoded.push({ key: value.key, ...item.value });
      }
      return ok(decoded);
    });
  }

  public compareAndSwap<T>(
    key: string,
    expected: number,
    data: T,
    expiresAt?: number,
  ): Promise<Outcome<number>> {
    return this.writeEnvelope(key, expected, data, expiresAt, 0);
  }

  private async readUncoalesced<T>(
    key: string,
    reserve: number,
  ): Promise<Outcome<Versioned<T> | undefined>> {
    const stored = await this.call((deadline) => this.transport.read(key, deadline), reserve);
    return stored.andThen((value) => (value === undefined ? ok(undefined) : decode<T>(value)));
  }

  private async writeEnvelope<T>(
    key: string,
    expected: number,
    data: T,
    expiresAt: number | undefined,
    reserve: number,
  ): Promise<Outcome<number>> {
    const envelope: Envelope<T> = { writeId: createIdentifier(), data };
    const write = { key, expected, value: JSON.stringify(envelope), expiresAt };
    const first = await this.call((deadline) => this.transport.write(write, deadline), reserve);
    if (first.isOk() || first.error.kind !== StoreErrorKind.unknown) {
      return first;
    }
    return this.resolveWrite(write, envelope.writeId, first.error);
  }

  /**
   * View of the store for calls on behalf of requests. Reads and writes cannot use the reserved
   * calls; lists and the calls that resolve a lost response can.
   */
  public get forRequests(): Store {
    const { reservedPerSecond } = this.limits;
    return {
      read: <T>(key: string) => this.readUncoalesced<T>(key, reservedPerSecond),
      list: <T>(prefix: string) => this.list<T>(prefix),
      compareAndSwap: (key, expected, data, expiresAt) =>
        this.writeEnvelope(key, expected, data, expiresAt, reservedPerSecond),
    };
  }

  /** Charges one call to the budget for a watch, which the caller sends on its own connection. */
  public admitWatch(): boolean {
    const now = this.clock.monotonic();
    const isAdmitted = this.health.admit(now) && this.budget.take(now);
    this.calls += isAdmitted ? 1 : 0;
    return isAdmitted;
  }

  /** Records the result of a watch in the store health. */
  public recordWatch(result: Result<unknown, StoreError>): void {
    this.record(result);
  }

  // A write whose response was lost may still reach the store. Repeating it with the same
  // identifier is safe: at most one of the two finds the expected version.
  private async resolveWrite(
    write: { key: string; expected: number; value: string; expiresAt?: number },
    writeId: string,
    cause: StoreError,
  ): Promise<Outcome<number>> {
    let delayMs = initialResolveDelayMs;
    for (let attemptIndex = 0; attemptIndex < maxResolveAttempts; attemptIndex += 1) {
      const found = await this.call((deadline) => this.transport.read(write.key, deadline));
      if (found.isOk()) {
        const version = found.value?.version ?? 0;
        if (found.value !== undefined && writeIdOf(found.value) === writeId) {
          return ok(version);
        }
        if (version !== write.expected) {
          return unknownOutcome(write.key, cause);
        }
        const retried = await this.call((deadline) => this.transport.write(write, deadline));
        if (retried.isOk()) {
          return retried;
        }
      }
      await delay(delayMs);
      delayMs *= 2;
    }
    return unknownOutcome(write.key, cause);
  }

  // Coalesces concurrent reads of one key into one call.
  private readCoalesced(key: string): Promise<Outcome<StoredValue | undefined>> {
    const pendingRead = this.pendingReads.get(key);
    if (pendingRead !== undefined) {
      return pendingRead;
    }
    const started = this.call((deadline) => this.transport.read(key, deadline));
    this.pendingReads.set(key, started);
    const removePending = (): void => {
      this.pendingReads.delete(key);
    };
    started.then(removePending, removePending);
    return started;
  }

  private async call<T>(
    send: (deadline: number) => Promise<Outcome<T>>,
    reserve = 0,
  ): Promise<Outcome<T>> {
    const now = this.clock.monotonic();
    if (!this.health.admit(now)) {
      return err(new StoreError(StoreErrorKind.unavailable, 'the store is down'));
    }
    if (!this.budget.take(now, reserve)) {
      return err(new StoreError(StoreErrorKind.overBudget, 'no store calls left in this second'));
    }
    this.calls += 1;
    const result = await send(now + this.limits.callTimeoutMs);
    this.record(result);
    return result;
  }

  private record(result: Result<unknown, StoreError>): void {
    const outcome = result.isOk() ? CallOutcome.answered : outcomeOfError[result.error.kind];
    if (outcome === undefined) {
      return;
    }
    const previousState = this.health.state;
    this.health.record(outcome, this.clock.monotonic());
    if (this.health.state !== previousState) {
      this.stateChanged.fire(this.health.state);
    }
  }
}

function unknownOutcome(key: string, cause: StoreError): Outcome<number> {
  const message = `the write of "${key}" may have taken effect`;
  return err(new StoreError(StoreErrorKind.unknown, message, { cause }));
}

function writeIdOf(stored: StoredValue): string | undefined {
  const decoded = parseEnvelope(stored.value);
  return decoded?.writeId;
}

function decode<T>(stored: StoredValue): Outcome<Versioned<T>> {
  const envelope = parseEnvelope(stored.value);
  return envelope === undefined
    ? err(new StoreError(StoreErrorKind.malformed, `the value of "${stored.key}" is not readable`))
    : ok({ version: stored.version, data: envelope.data as T });
}

function parseEnvelope(text: string): Envelope<unknown> | undefined {
  try {
    const parsed = JSON.parse(text) as Partial<Envelope<unknown>> | null;
    return typeof parsed?.writeId === 'string'
      ? { writeId: parsed.writeId, data: parsed.data }
      : undefined;
  } catch {
    return undefined;
  }
}
