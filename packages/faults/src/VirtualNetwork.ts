import { delay } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** How a call failed. */
export const CallFailure = {
  /** Connection refused; the call was not executed. */
  refused: 'refused',
  /** No response before the deadline; the call may have been executed. */
  timeout: 'timeout',
} as const;
export type CallFailure = (typeof CallFailure)[keyof typeof CallFailure];

const latencyMs = 1;
const pollMs = 5;

/**
 * Carries messages between named processes in virtual time. Links can be cut and delayed, and
 * processes paused and killed.
 */
export class VirtualNetwork {
  /** Messages sent since the start, lost ones included. Faults are injected at a given count. */
  public messageCount = 0;

  private readonly cutLinks = new Set<string>();

  private readonly dead = new Set<string>();

  private readonly paused = new Set<string>();

  private readonly addedLatencyMs = new Map<string, number>();

  private readonly messageListeners = new Set<(count: number) => void>();

  /** @param now returns virtual milliseconds */
  public constructor(private readonly now: () => number) {}

  /** Drops all messages from one process to another until the link is healed. */
  public cutLink(from: string, to: string): void {
    this.cutLinks.add(`${from}>${to}`);
  }

  public healLink(from: string, to: string): void {
    this.cutLinks.delete(`${from}>${to}`);
  }

  public kill(name: string): void {
    this.dead.add(name);
  }

  public pause(name: string): void {
    this.paused.add(name);
  }

  public resume(name: string): void {
    this.paused.delete(name);
  }

  /** Adds latency to every call to a process; 0 removes it. */
  public setAddedLatency(name: string, milliseconds: number): void {
    this.addedLatencyMs.set(name, milliseconds);
  }

  public isDead(name: string): boolean {
    return this.dead.has(name);
  }

  /** Calls `listener` for every message with the message count. Returns a function that unsubscribes. */
  public onMessage(listener: (count: number) => void): () => void {
    this.messageListeners.add(listener);
    return () => this.messageListeners.delete(listener);
  }

  /**
   * Executes `operation` at `to` on behalf of `from`. If only the response is lost, the call times out
   * although the operation was executed.
   *
   * @param deadline virtual milliseconds
   */
  public async call<T>(
    from: string,
    to: string,
    operation: () => Promise<T> | T,
    deadline: number,
  ): Promise<Result<T, CallFailure>> {
    const execution = this.execute(from, to, operation, deadline);
    const outcome = await Promise.race([execution, this.failAtDeadline(deadline)]);
    await this.waitWhileStopped(from);
    return outcome;
  }

  private async execute<T>(
    from: string,
    to: string,
    operation: () => Promise<T> | T,
    deadline: number,
  ): Promise<Result<T, CallFailure>> {
    await this.waitWhileStopped(from);
    if (this.now() >= deadline) {
      // A resumed process runs its expired timers before it writes to a connection, so the call is
      // never sent.
      return err(CallFailure.timeout);
    }
    await this.transmit(from, to);
    if (this.dead.has(to)) {
      return err(CallFailure.refused);
    }
    await this.waitWhileStopped(to);
    await delay(this.addedLatencyMs.get(to) ?? 0);
    const value = await operation();
    await this.waitWhileStopped(to);
    await this.transmit(to, from);
    return ok(value);
  }

  private async transmit(from: string, to: string): Promise<void> {
    this.messageCount += 1;
    this.messageListeners.forEach((listener) => listener(this.messageCount));
    await delay(latencyMs);
    while (this.cutLinks.has(`${from}>${to}`)) {
      // The message is lost; the caller waits until its deadline.
      await neverSettle();
    }
  }

  // Waits while the process is paused; never settles for a dead process.
  private async waitWhileStopped(name: string): Promise<void> {
    while (this.dead.has(name) || this.paused.has(name)) {
      await (this.dead.has(name) ? neverSettle() : delay(pollMs));
    }
  }

  private async failAtDeadline(deadline: number): Promise<Result<never, CallFailure>> {
    await delay(Math.max(0, deadline - this.now()));
    return err(CallFailure.timeout);
  }
}

function neverSettle(): Promise<never> {
  return new Promise(() => {});
}
