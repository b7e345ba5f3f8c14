import type { Clock } from '@apricothoist/common';
import type { Store } from '@apricothoist/platform';
import { absentVersion } from '@apricothoist/platform';

/**
 * Stored lease of the instance that schedules a data centre. It only avoids duplicate work; plan
 * writes are made safe by compare-and-swap.
 */
interface LeaseRecord {
  readonly holder: string;
  /** Wall-clock milliseconds. */
  readonly until: number;
}

// A new leader has to renew the task leases before they expire, so the sum of this lease, one step of
// the plan runner and two worker calls must be less than the remaining time of a task lease.
const leaseMs = 4_000;
/** Remaining time in milliseconds below which the lease is renewed. */
const renewalThresholdMs = 2_500;
/** Time in milliseconds before the expiry at which the holder stops relying on the lease. */
const safetyMarginMs = 1_000;

/** Leader lease of one data centre, as seen by one instance. */
export class LeaderLease {
  private readonly key: string;

  /** Monotonic milliseconds until which this instance may act as leader. */
  private heldUntil = 0;

  private version: number | undefined;

  public constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    dataCentre: string,
    private readonly instanceId: string,
  ) {
    this.key = `lease/scheduler/${dataCentre}`;
  }

  /** Whether this instance holds the lease now. Check it again after every `await`. */
  public get isHeld(): boolean {
    return this.clock.monotonic() < this.heldUntil;
  }

  /** Acquires the lease if it is free, or renews it if that is due. */
  public async maintain(): Promise<void> {
    if (this.heldUntil - this.clock.monotonic() > renewalThresholdMs) {
      return;
    }
    if (this.version === undefined && !(await this.readVersion())) {
      return;
    }
    await this.write(this.clock.wall() + leaseMs, leaseMs - safetyMarginMs);
  }

  /** Releases the lease, so that another instance does not have to wait until it expires. */
  public async release(): Promise<void> {
    if (this.isHeld && this.version !== undefined) {
      await this.write(0, 0);
    }
  }

  // Reads the version to replace. Returns false if another instance holds the lease or on an error.
  private async readVersion(): Promise<boolean> {
    const read = await this.store.read<LeaseRecord>(this.key);
    if (read.isErr()) {
      return false;
    }
    const found = read.value;
    const isFree =
      found === undefined ||
      found.data.holder === this.instanceId ||
      found.data.until < this.clock.wall();
    this.version = isFree ? (found?.version ?? absentVersion) : undefined;
    return isFree;
  }

  private async write(until: number, usableMs: number): Promise<void> {
    const startedAt = this.clock.monotonic();
    const record: LeaseRecord = { holder: this.instanceId, until };
    const written = await this.store.compareAndSwap(
      this.key,
      this.version ?? absentVersion,
      record,
    );
    // The lease counts from before the call, so that a slow response does not extend it.
    this.version = written.isOk() ? written.value : undefined;
    this.heldUntil = written.isOk() ? startedAt + usableMs : this.heldUntil;
  }
}
