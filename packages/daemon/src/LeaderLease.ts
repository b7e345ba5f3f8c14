import type { Clock } from '@apricothoist/common';
import type { Store } from '@apricothoist/platform';
import { absentVersion } from '@apricothoist/platform';

/** Who schedules a data centre. It only saves work: the compare-and-swap of the plan decides. */
interface LeaseRecord {
  readonly holder: string;
  /** Wall milliseconds. */
  readonly until: number;
}

// A successor has to renew running tasks before their own leases end: this lease, one step of the
// runner and two calls of the workers together stay below what is left of a task's lease.
const leaseMs = 4_000;
/** Renewed when less than this is left, in milliseconds. */
const renewBeforeMs = 2_500;
/** Milliseconds before the end at which the holder stops relying on the lease. */
const safetyMs = 1_000;

/** The lease of the instance that schedules one data centre. */
export class LeaderLease {
  private readonly key: string;

  /** Monotonic milliseconds until which this instance may act as holder. */
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

  /** Whether this instance holds the lease at this moment; compare at use, after any pause. */
  public get isHeld(): boolean {
    return this.clock.monotonic() < this.heldUntil;
  }

  /** Acquires or renews when that is due and possible. */
  public async maintain(): Promise<void> {
    if (this.heldUntil - this.clock.monotonic() > renewBeforeMs) {
      return;
    }
    if (this.version === undefined && !(await this.readVersion())) {
      return;
    }
    await this.write(this.clock.wall() + leaseMs, leaseMs - safetyMs);
  }

  /** Gives the lease up, so that another instance need not wait for its end. */
  public async release(): Promise<void> {
    if (this.isHeld && this.version !== undefined) {
      await this.write(0, 0);
    }
  }

  // Learns the version to replace; false while another instance holds the lease.
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
    // The time counts from before the call, so a slow answer shortens the lease.
    this.version = written.isOk() ? written.value : undefined;
    this.heldUntil = written.isOk() ? startedAt + usableMs : this.heldUntil;
  }
}
