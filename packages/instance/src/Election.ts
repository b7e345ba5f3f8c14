import type { Clock, Event, Random } from '@apricothoist/common';
import { delay, Emitter } from '@apricothoist/common';

import type { CoordinationStore } from './CoordinationStore.js';
import { absentRevision, CoordinationErrorKind } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import type { HolderRecord } from './StoredJob.js';
import { parseRecord } from './StoredJob.js';
import { StorePace } from './StorePace.js';

/**
 * Lifetime of the lease in milliseconds: urgent jobs can wait for little more than a second, and while
 * a holder that is gone still has its lease nothing starts.
 */
const leaseMs = 1_600;
/** Milliseconds between renewals; two may be lost before the lease ends. */
const renewEveryMs = 350;
/** Milliseconds for one renewal: above the 316 ms of the slowest store on the users' days. */
const renewCallMs = 450;
/** Milliseconds before a renewal without an answer is repeated. */
const renewAgainMs = 60;
/** Milliseconds before the end of the lease at which the holder stops relying on it. */
const safetyMs = 200;
/** Milliseconds between looks at the key while another instance holds it. */
const lookEveryMs = 400;

/** Milliseconds for which an instance that handed over leaves the key alone: some looks of others. */
const standBackMs = 1_500;

/** Right to schedule, for a while. */
export interface Tenure {
  /** Higher than that of every former holder. */
  readonly token: number;
}

/** Where the present holder can be heard. */
export type HolderLocation = HolderRecord & { readonly token: number };

/**
 * Decides which instance schedules, by a key with a lease in the store. The token of a holder is
 * the revision at which it wrote the key.
 */
export class Election implements AsyncDisposable {
  private readonly gained = new Emitter<Tenure>();

  public readonly onGain: Event<Tenure> = this.gained.event;

  private readonly lost = new Emitter<string>();

  /** Fires with the reason. */
  public readonly onLose: Event<string> = this.lost.event;

  private readonly located = new Emitter<HolderLocation>();

  /** Fires when another instance is found to be the holder. */
  public readonly onLocate: Event<HolderLocation> = this.located.event;

  private readonly doubted = new Emitter<boolean>();

  /** Fires with true when the lease was not renewed in time, and with false when it was after all. */
  public readonly onDoubt: Event<boolean> = this.doubted.event;

  private isInDoubt = false;

  private tenure: Tenure | undefined;

  private lease = 0;

  /** Monotonic milliseconds until which the lease is relied on. */
  private heldUntil = 0;

  private standBackUntil = -Infinity;

  private isStopped = false;

  private loop: Promise<void> | undefined;

  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly self: HolderRecord,
    /** Whether the holder is heard, so that the key need not be looked at. */
    private readonly hearsHolder: () => boolean,
    /** Milliseconds that this instance leaves to stronger ones before it takes a free key. */
    private readonly pauseMs: () => number,
  ) {}

  /** Token while the lease can be relied on at this moment. */
  public get token(): number | undefined {
    return this.clock.monotonic() < this.heldUntil ? this.tenure?.token : undefined;
  }

  public start(): void {
    this.loop = this.run();
  }

  /** Gives the key to another instance, and does not try to take it back for a while. */
  public async handOver(reason: string): Promise<void> {
    const { lease } = this;
    this.standBackUntil = this.clock.monotonic() + standBackMs;
    this.resign(reason);
    await this.store.endLease(lease, this.clock.monotonic() + StorePace.callMs);
  }

  /** Gives up at once, after a runner or the store has told of a successor. */
  public resign(reason: string): void {
    if (this.tenure !== undefined) {
      this.tenure = undefined;
      this.heldUntil = 0;
      this.isInDoubt = false;
      this.lost.fire(reason);
    }
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.tenure !== undefined) {
        await this.renew();
      } else if (this.hearsHolder() || this.clock.monotonic() < this.standBackUntil) {
        await delay(lookEveryMs);
      } else {
        await this.look();
      }
    }
  }

  private async renew(): Promise<void> {
    const askedAt = this.clock.monotonic();
    const renewed = await this.store.renewLease(this.lease, askedAt + renewCallMs);
    if (renewed.isOk() && this.tenure !== undefined) {
      this.heldUntil = Math.max(this.heldUntil, askedAt + leaseMs - safetyMs);
    } else if (renewed.isErr() && renewed.error.kind === CoordinationErrorKind.leaseEnded) {
      this.resign('lease ended');
      return;
    }
    // Past its time the lease is in doubt: nothing is ordered, but a renewal that succeeds shows that
    // it never ended, and that nobody has taken over.
    this.setDoubt(this.clock.monotonic() >= this.heldUntil);
    await delay(
      renewed.isOk() ? renewEveryMs : this.random.jitter(renewAgainMs, StorePace.retrySpread),
    );
  }

  private setDoubt(isInDoubt: boolean): void {
    if (isInDoubt !== this.isInDoubt) {
      this.isInDoubt = isInDoubt;
      this.doubted.fire(isInDoubt);
    }
  }

  private async look(): Promise<void> {
    const found = await this.store.read(
      StoreKeys.holder,
      this.clock.monotonic() + StorePace.callMs,
    );
    if (found.isErr()) {
      await delay(this.random.jitter(StorePace.retryMs * 2, StorePace.retrySpread));
      return;
    }
    const item = found.value;
    const holder = parseRecord<HolderRecord>(item?.value);
    if (item !== undefined && holder !== undefined) {
      if (holder.instance !== this.self.instance) {
        this.located.fire({ ...holder, token: item.revision });
      }
      await delay(this.random.jitter(lookEveryMs / 2, StorePace.retrySpread));
      return;
    }
    await delay(this.random.fraction() * StorePace.retryMs + this.pauseMs());
    if (await this.isTaken()) {
      return;
    }
    if (!this.isStopped) {
      await this.acquire();
    }
  }

  // Whether a stronger instance has taken the key meanwhile.
  private async isTaken(): Promise<boolean> {
    if (this.pauseMs() === 0) {
      return false;
    }
    const deadline = this.clock.monotonic() + StorePace.callMs;
    const found = await this.store.read(StoreKeys.holder, deadline);
    return found.isErr() || found.value !== undefined;
  }

  private async acquire(): Promise<void> {
    const askedAt = this.clock.monotonic();
    const lease = await this.store.grantLease(leaseMs, askedAt + StorePace.callMs);
    if (lease.isErr()) {
      await delay(this.random.jitter(StorePace.retryMs, StorePace.retrySpread));
      return;
    }
    const write = {
      key: StoreKeys.holder,
      value: JSON.stringify(this.self),
      lease: lease.value,
    };
    const expect = [{ key: StoreKeys.holder, revision: absentRevision }];
    const committed = await this.store.commit(
      { expect, writes: [write] },
      this.clock.monotonic() + StorePace.callMs,
    );
    const isWon = committed.isOk() && committed.value.isCommitted;
    const isLate = this.clock.monotonic() >= askedAt + leaseMs - safetyMs;
    if (!isWon || isLate || this.isStopped) {
      // A write whose answer was lost may have made this instance the holder: the end of the lease
      // frees the key in any case.
      await this.store.endLease(lease.value, this.clock.monotonic() + StorePace.callMs);
      return;
    }
    this.lease = lease.value;
    this.heldUntil = askedAt + leaseMs - safetyMs;
    this.tenure = { token: committed.value.isCommitted ? committed.value.revision : 0 };
    this.gained.fire(this.tenure);
  }

  /** Gives the lease up, so that a successor need not wait for its end. */
  public async [Symbol.asyncDispose](): Promise<void> {
    this.isStopped = true;
    const wasHolder = this.tenure !== undefined;
    this.resign('instance stops');
    if (wasHolder) {
      await this.store.endLease(this.lease, this.clock.monotonic() + StorePace.callMs);
    }
    this.gained[Symbol.dispose]();
    this.lost[Symbol.dispose]();
    this.located[Symbol.dispose]();
    this.doubted[Symbol.dispose]();
  }
}
