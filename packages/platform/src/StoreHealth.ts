import type { Random } from '@apricothoist/common';

/** Responsiveness of the store: in time, late, or not at all. */
export const StoreState = { up: 'up', slow: 'slow', down: 'down' } as const;
export type StoreState = (typeof StoreState)[keyof typeof StoreState];

/** Outcome of one call. */
export const CallOutcome = { answered: 'answered', late: 'late', failed: 'failed' } as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

const failuresToDown = 3;
const initialBackoffMs = 250;
const maxBackoffMs = 4_000;
const backoffJitter = 0.5;

/**
 * Circuit breaker that distinguishes a slow store from one that is down. While the store is down,
 * calls fail immediately except for single probes, sent with jittered exponential back-off so that
 * many instances do not return at the same time. Times are monotonic milliseconds.
 */
export class StoreHealth {
  private failures = 0;

  private lateCalls = 0;

  private backoffMs = initialBackoffMs;

  private probeAt = 0;

  public constructor(private readonly random: Random) {}

  public get state(): StoreState {
    if (this.failures >= failuresToDown) {
      return StoreState.down;
    }
    return this.lateCalls > 0 ? StoreState.slow : StoreState.up;
  }

  /** Whether a call may be sent now. While the store is down, the admitted call is the probe. */
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

  /** Earliest time at which a call may be sent. */
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
        if (this.failures === failuresToDown) {
          this.scheduleProbe(now);
        }
      },
    };
    handlers[outcome]();
  }

  private reset(): void {
    this.failures = 0;
    this.lateCalls = 0;
    this.backoffMs = initialBackoffMs;
  }

  private scheduleProbe(now: number): void {
    this.probeAt = now + this.random.jitter(this.backoffMs, backoffJitter);
    this.backoffMs = Math.min(maxBackoffMs, this.backoffMs * 2);
  }
}
