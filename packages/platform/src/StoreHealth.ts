import type { Random } from '@apricothoist/common';

/** How the store answers: in time, late, or not at all. */
export const StoreState = { up: 'up', slow: 'slow', down: 'down' } as const;
export type StoreState = (typeof StoreState)[keyof typeof StoreState];

/** What one call met. */
export const CallOutcome = { answered: 'answered', late: 'late', failed: 'failed' } as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

const failuresUntilDown = 3;
const firstBackoffMs = 250;
const maxBackoffMs = 4_000;
const backoffSpread = 0.5;

/**
 * Tells a slow store from one that is down. While it is down, calls fail at once and one probe
 * at a time goes out, after a jittered and growing delay, so that many instances do not return
 * together. Times are monotonic milliseconds.
 */
export class StoreHealth {
  private failures = 0;

  private lateCalls = 0;

  private backoffMs = firstBackoffMs;

  private probeAt = 0;

  public constructor(private readonly random: Random) {}

  public get state(): StoreState {
    if (this.failures >= failuresUntilDown) {
      return StoreState.down;
    }
    return this.lateCalls > 0 ? StoreState.slow : StoreState.up;
  }

  /** Whether a call may go out now. While the store is down, a true answer starts the probe. */
  public admit(now: number): boolean {
    if (this.state !== StoreState.down) {
      return true;
    }
    if (now < this.probeAt) {
      return false;
    }
    this.scheduleProbe(now);
    return true;
  }

  /** The earliest time at which a call may go out. */
  public admitAt(now: number): number {
    return this.state === StoreState.down ? Math.max(now, this.probeAt) : now;
  }

  public record(outcome: CallOutcome, now: number): void {
    const handlers: Record<CallOutcome, () => void> = {
      answered: () => this.reset(),
      late: () => {
        this.failures = 0;
        this.lateCalls += 1;
      },
      failed: () => {
        this.failures += 1;
        if (this.failures === failuresUntilDown) {
          this.scheduleProbe(now);
        }
      },
    };
    handlers[outcome]();
  }

  private reset(): void {
    this.failures = 0;
    this.lateCalls = 0;
    this.backoffMs = firstBackoffMs;
  }

  private scheduleProbe(now: number): void {
    this.probeAt = now + this.random.jitter(this.backoffMs, backoffSpread);
    this.backoffMs = Math.min(maxBackoffMs, this.backoffMs * 2);
  }
}
