import { delay } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** How a call failed. */
export const CallFault = {
  /** Nothing listens at the other end; the call was not carried out. */
  refused: 'refused',
  /** No answer in time; the call may have been carried out. */
  timeout: 'timeout',
} as const;
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

const latencyMs = 1;
const pollMs = 5;

/** Messages between named processes in virtual time, with cuts, pauses and kills. */
export class VirtualNetwork {
  /** Messages handed over since the start; faults are aimed at one of them. */
  public messages = 0;

  private readonly cuts = new Set<string>();

  private readonly dead = new Set<string>();

  private readonly paused = new Set<string>();

  private readonly slowBy = new Map<string, number>();

  private readonly watchers = new Set<(count: number) => void>();

  /** @param now gives virtual milliseconds */
  public constructor(private readonly now: () => number) {}

  /** Loses messages from one process to another from now on. */
  public cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  public heal(from: string, to: string): void {
    this.cuts.delete(`${from}>${to}`);
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

  /** Delays every call to a process by so many milliseconds; 0 ends that. */
  public slow(name: string, milliseconds: number): void {
    this.slowBy.set(name, milliseconds);
  }

  public isDead(name: string): boolean {
    return this.dead.has(name);
  }

  /** Calls `listener` with the number of every message. */
  public watch(listener: (count: number) => void): () => void {
    this.watchers.add(listener);
    return () => this.watchers.delete(listener);
  }

  /**
   * Carries `work` out at `to` for `from`. A call whose answer is lost has been carried out.
   *
   * @param deadline virtual milliseconds
   */
  public async call<T>(
    from: string,
    to: string,
    work: () => Promise<T> | T,
    deadline: number,
  ): Promise<Result<T, CallFault>> {
    const carried = this.carry(from, to, work, deadline);
    const outcome = await Promise.race([carried, this.expire(deadline)]);
    await this.whileStopped(from);
    return outcome;
  }

  private async carry<T>(
    from: string,
    to: string,
    work: () => Promise<T> | T,
    deadline: number,
  ): Promise<Result<T, CallFault>> {
    await this.whileStopped(from);
    if (this.now() >= deadline) {
      // A resumed process runs its due timers before it writes to a connection.
      return err(CallFault.timeout);
    }
    await this.pass(from, to);
    if (this.dead.has(to)) {
      return err(CallFault.refused);
    }
    await this.whileStopped(to);
    await delay(this.slowBy.get(to) ?? 0);
    const answer = await work();
    await this.whileStopped(to);
    await this.pass(to, from);
    return ok(answer);
  }

  private async pass(from: string, to: string): Promise<void> {
    this.messages += 1;
    this.watchers.forEach((listener) => listener(this.messages));
    await delay(latencyMs);
    while (this.cuts.has(`${from}>${to}`)) {
      // A cut loses the message; whoever waits for it meets its deadline.
      await forever();
    }
  }

  // A dead process never goes on; a paused one goes on when it is resumed.
  private async whileStopped(name: string): Promise<void> {
    while (this.dead.has(name) || this.paused.has(name)) {
      await (this.dead.has(name) ? forever() : delay(pollMs));
    }
  }

  private async expire(deadline: number): Promise<Result<never, CallFault>> {
    await delay(Math.max(0, deadline - this.now()));
    return err(CallFault.timeout);
  }
}

function forever(): Promise<never> {
  return new Promise(() => {});
}
