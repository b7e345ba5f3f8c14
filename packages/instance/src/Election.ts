import type { Clock, Event, LoopErrorHandler, Random } from '@apricothoist/common';
import { delay, Emitter, SupervisedLoop } from '@apricothoist/common';
import type { Result } from 'neverthrow';

import type { CoordinationError, CoordinationStore, StoredItems } from './CoordinationStore.js';
import { absentRevision, CoordinationErrorKind } from './CoordinationStore.js';
import { StoreKeys } from './keys.js';
import type { LeaseTiming } from './LeaseTiming.js';
import type { HolderRecord } from './StoredJob.js';
import { decodeRecord, holderSchema } from './storedRecords.js';
import { StoreTiming } from './StoreTiming.js';
import type { UnreadableRecord } from './UnreadableRecords.js';

/** Timeout of a renewal in milliseconds: above the 316 ms of the slowest supported store. */
const renewTimeoutMs = 450;
/** Milliseconds before an unanswered renewal is retried. */
const renewRetryMs = 60;
/** Milliseconds before the expiry of the lease from which the holder no longer relies on it. */
const leaseMarginMs = 200;
/** Milliseconds between reads of the key while another instance holds it. */
const pollIntervalMs = 400;
/**
 * Milliseconds that a watch of the key waits. Each call has a cost; a watch that was cut without a
 * sign is backed by the idle timeout of the feed.
 */
const holderWatchMs = 5_000;

/** Milliseconds without competing for the key after a transfer: several polls of the others. */
const transferBackoffMs = 1_500;

/** Period in which one instance is the holder of the lease and may schedule. */
export interface LeadershipTerm {
  /** Fencing token; higher than that of every previous holder. */
  readonly token: number;
}

/** Feed address and token of the current holder. */
export type HolderLocation = HolderRecord & { readonly token: number };

/**
 * Leader election by a key with a lease in the store: the instance that holds the key schedules.
 * The fencing token of a holder is the revision at which it wrote the key.
 */
export class Election implements AsyncDisposable {
  private readonly termStarted = new Emitter<LeadershipTerm>();

  public readonly onTermStart: Event<LeadershipTerm> = this.termStarted.event;

  private readonly termEnded = new Emitter<string>();

  /** Fires with the reason when the term ends. */
  public readonly onTermEnd: Event<string> = this.termEnded.event;

  private readonly holderFound = new Emitter<HolderLocation>();

  /** Fires when another instance is found to hold the key. */
  public readonly onHolderFound: Event<HolderLocation> = this.holderFound.event;

  private readonly unreadable = new Emitter<UnreadableRecord>();

  /** Fires each time when the record of the holder is found to be unreadable. */
  public readonly onUnreadable: Event<UnreadableRecord> = this.unreadable.event;

  private readonly doubtChanged = new Emitter<boolean>();

  /**
   * Fires with true when the lease was not renewed in time, and with false once a renewal succeeds.
   */
  public readonly onDoubtChange: Event<boolean> = this.doubtChanged.event;

  private isInDoubt = false;

  /** Whether the key was seen to be free since it was last read. */
  private isReleased = false;

  private resumeLoop: (() => void) | undefined;

  /** Revision of the key as last read; 0 if unknown. */
  private holderRevision = 0;

  private term: LeadershipTerm | undefined;

  private leaseId = 0;

  /** Monotonic milliseconds until which the lease counts as valid. */
  private leaseValidUntil = 0;

  private backOffUntil = -Infinity;

  private isStopped = false;

  private readonly loops = [
    new SupervisedLoop('election', () => this.takePart()),
    new SupervisedLoop('watch of the holder', () => this.watchHolder()),
  ];

  public constructor(
    private readonly store: CoordinationStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly self: HolderRecord,
    /** Whether the feed of the holder is open or connecting, so that the key need not be polled. */
    private readonly isFollowingHolder: () => boolean,
    /**
     * Milliseconds that this instance waits before it takes a free key, so that stronger ones win.
     */
    private readonly findElectionDelayMs: () => Promise<Result<number, CoordinationError>>,
    private readonly timing: LeaseTiming,
  ) {}

  /** Fencing token while the lease is valid, undefined otherwise. */
  public get token(): number | undefined {
    return this.clock.monotonic() < this.leaseValidUntil ? this.term?.token : undefined;
  }

  public start(onError: LoopErrorHandler): void {
    this.loops.forEach((loop) => loop.start(onError));
  }

  /** Releases the key to another instance and does not compete for it during the back-off. */
  public async transferLeadership(reason: string): Promise<void> {
    const { leaseId } = this;
    this.backOffUntil = this.clock.monotonic() + transferBackoffMs;
    this.resign(reason);
    await this.store.endLease(leaseId, this.clock.monotonic() + StoreTiming.callTimeoutMs);
  }

  /** Ends the term immediately, after a runner or the store has reported a newer holder. */
  public resign(reason: string): void {
    if (this.term !== undefined) {
      this.term = undefined;
      this.leaseValidUntil = 0;
      this.isInDoubt = false;
      this.termEnded.fire(reason);
    }
  }

  private async takePart(): Promise<void> {
    if (this.term !== undefined) {
      await this.renew();
    } else if (this.isFollowing || this.clock.monotonic() < this.backOffUntil) {
      await this.waitForRelease();
    } else {
      await this.checkHolder();
    }
  }

  private get isFollowing(): boolean {
    return this.isFollowingHolder() && !this.isReleased;
  }

  private async waitForRelease(): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, pollIntervalMs);
      this.resumeLoop = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.resumeLoop = undefined;
  }

  // Learns at once that the key is free, while the feed of a holder that vanished is still silent.
  private async watchHolder(): Promise<void> {
    const { holderRevision } = this;
    if (this.term !== undefined || holderRevision === 0 || this.isReleased) {
      await delay(pollIntervalMs);
      return;
    }
    const deadline = this.clock.monotonic() + holderWatchMs + StoreTiming.callTimeoutMs;
    const changes = await this.store.watch(
      StoreKeys.holder,
      holderRevision,
      holderWatchMs,
      deadline,
    );
    this.applyHolderChanges(changes, holderRevision);
    await delay(this.random.jitter(renewRetryMs, StoreTiming.retryJitter));
  }

  private applyHolderChanges(
    changes: Result<StoredItems, CoordinationError>,
    watchedRevision: number,
  ): void {
    if (changes.isErr() || this.holderRevision !== watchedRevision) {
      // A history that was dropped or an unreachable store: the next read of the key decides.
      this.holderRevision = changes.isErr() ? 0 : this.holderRevision;
      return;
    }
    const last = changes.value.items.filter(({ key }) => key === StoreKeys.holder).at(-1);
    if (last !== undefined) {
      this.holderRevision = last.value === undefined ? 0 : last.revision;
      this.isReleased = last.value === undefined && this.term === undefined;
      if (this.isReleased) {
        this.resumeLoop?.();
      }
    }
  }

  // A renewal whose answer takes longer than the interval does not hold up the next one.
  private async renew(): Promise<void> {
    const { renewIntervalMs } = this.timing;
    const requestedAt = this.clock.monotonic();
    const renewal = this.sendRenewal(requestedAt);
    const isRenewed = await Promise.race([renewal, delay(renewIntervalMs).then(() => undefined)]);
    // Past this time the lease is in doubt: no commands are sent. A renewal that succeeds proves
    // that the lease never ended and that no other instance has taken over.
    this.setDoubt(this.clock.monotonic() >= this.leaseValidUntil);
    if (this.term !== undefined && isRenewed !== undefined) {
      const restMs = requestedAt + renewIntervalMs - this.clock.monotonic();
      const retryMs = this.random.jitter(renewRetryMs, StoreTiming.retryJitter);
      await delay(isRenewed ? Math.max(0, restMs) : retryMs);
    }
  }

  /** Resolves to whether the lease was renewed; ends the term if it has ended. */
  private async sendRenewal(requestedAt: number): Promise<boolean> {
    const { term, leaseId } = this;
    const renewed = await this.store.renewLease(leaseId, requestedAt + renewTimeoutMs);
    if (term === undefined || this.term !== term) {
      return false;
    }
    if (renewed.isOk()) {
      const validUntil = requestedAt + this.timing.leaseMs - leaseMarginMs;
      this.leaseValidUntil = Math.max(this.leaseValidUntil, validUntil);
      this.setDoubt(this.clock.monotonic() >= this.leaseValidUntil);
    } else if (renewed.error.kind === CoordinationErrorKind.leaseEnded) {
      this.resign('lease ended');
    }
    return renewed.isOk();
  }

  private setDoubt(isInDoubt: boolean): void {
    if (isInDoubt !== this.isInDoubt) {
      this.isInDoubt = isInDoubt;
      this.doubtChanged.fire(isInDoubt);
    }
  }

  private async checkHolder(): Promise<void> {
    const found = await this.store.read(
      StoreKeys.holder,
      this.clock.monotonic() + StoreTiming.callTimeoutMs,
    );
    if (found.isErr()) {
      await delay(this.random.jitter(StoreTiming.retryMs * 2, StoreTiming.retryJitter));
      return;
    }
    const item = found.value;
    this.isReleased = false;
    this.holderRevision = item?.revision ?? 0;
    if (item?.value !== undefined && this.isHeldElsewhere(item.value, item.revision)) {
      await delay(this.random.jitter(pollIntervalMs / 2, StoreTiming.retryJitter));
      return;
    }
    const electionDelayMs = await this.findElectionDelayMs();
    if (electionDelayMs.isErr()) {
      await delay(this.random.jitter(StoreTiming.retryMs, StoreTiming.retryJitter));
      return;
    }
    await delay(this.random.fraction() * StoreTiming.retryMs + electionDelayMs.value);
    const revision = item?.revision ?? absentRevision;
    if (electionDelayMs.value > 0 && (await this.isTaken(revision))) {
      return;
    }
    if (!this.isStopped) {
      await this.acquire(revision);
    }
  }

  // A record that cannot be read is of no instance: its writer has replaced the one of a holder,
  // whose term has thereby ended, and nothing might ever remove it.
  private isHeldElsewhere(value: string, revision: number): boolean {
    return decodeRecord(holderSchema, value).match(
      (holder) => {
        if (holder.instance !== this.self.instance) {
          this.holderFound.fire({ ...holder, token: revision });
        }
        return true;
      },
      (error) => {
        this.unreadable.fire({ key: StoreKeys.holder, revision, error });
        return false;
      },
    );
  }

  // Whether a stronger instance took the key during the election delay.
  private async isTaken(revision: number): Promise<boolean> {
    const deadline = this.clock.monotonic() + StoreTiming.callTimeoutMs;
    const found = await this.store.read(StoreKeys.holder, deadline);
    return found.isErr() || (found.value?.revision ?? absentRevision) !== revision;
  }

  /** @param revision of the key that was read: absent, or unreadable */
  private async acquire(revision: number): Promise<void> {
    const { leaseMs } = this.timing;
    const requestedAt = this.clock.monotonic();
    const lease = await this.store.grantLease(leaseMs, requestedAt + StoreTiming.callTimeoutMs);
    if (lease.isErr()) {
      await delay(this.random.jitter(StoreTiming.retryMs, StoreTiming.retryJitter));
      return;
    }
    const write = {
      key: StoreKeys.holder,
      value: JSON.stringify(this.self),
      lease: lease.value,
    };
    const expect = [{ key: StoreKeys.holder, revision }];
    const committed = await this.store.commit(
      { expect, writes: [write] },
      this.clock.monotonic() + StoreTiming.callTimeoutMs,
    );
    const isWon = committed.isOk() && committed.value.isCommitted;
    const isLate = this.clock.monotonic() >= requestedAt + leaseMs - leaseMarginMs;
    if (!isWon || isLate || this.isStopped) {
      // A write whose response was lost may have made this instance the holder; ending the lease
      // frees the key in either case.
      await this.store.endLease(lease.value, this.clock.monotonic() + StoreTiming.callTimeoutMs);
      return;
    }
    this.leaseId = lease.value;
    this.leaseValidUntil = requestedAt + leaseMs - leaseMarginMs;
    this.term = { token: committed.value.isCommitted ? committed.value.revision : 0 };
    await this.beginTerm(this.term);
  }

  // A holder that cannot begin its term must not go on renewing the lease.
  private async beginTerm(term: LeadershipTerm): Promise<void> {
    try {
      this.termStarted.fire(term);
    } catch (error) {
      await this.transferLeadership('the term could not begin');
      throw error;
    }
  }

  /** Ends the lease, so that a successor need not wait for its expiry. */
  public async [Symbol.asyncDispose](): Promise<void> {
    this.isStopped = true;
    this.loops.forEach((loop) => loop[Symbol.dispose]());
    const wasHolder = this.term !== undefined;
    this.resign('instance stops');
    if (wasHolder) {
      await this.store.endLease(this.leaseId, this.clock.monotonic() + StoreTiming.callTimeoutMs);
    }
    this.termStarted[Symbol.dispose]();
    this.termEnded[Symbol.dispose]();
    this.holderFound[Symbol.dispose]();
    this.unreadable[Symbol.dispose]();
    this.doubtChanged[Symbol.dispose]();
  }
}
