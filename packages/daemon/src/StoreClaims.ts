import type { Clock } from '@apricothoist/common';
import type { ClaimResult as Claim, RequestClaims, RequestDescriptor } from '@apricothoist/router';
import { ClaimResult } from '@apricothoist/router';
import type { Store } from '@apricothoist/platform';
import { absentVersion, StoreErrorKind } from '@apricothoist/platform';

export const ClaimState = { claimed: 'claimed', released: 'released' } as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

interface ClaimRecord {
  readonly ticketId: string;
  readonly instanceId: string;
  readonly state: ClaimState;
}

/** Milliseconds for which a key is remembered after its request. */
const claimLifeMs = 24 * 60 * 60_000;

/**
 * Claims in the platform's store: the first instance to create the key may send. Without the
 * store no claim is granted, because no instance could know of another's.
 */
export class StoreClaims implements RequestClaims {
  /** Versions of the claims that this instance holds, by ticket. */
  private readonly held = new WeakMap<RequestDescriptor, number>();

  public constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly instanceId: string,
  ) {}

  public async claim(ticket: RequestDescriptor): Promise<Claim> {
    const key = keyOf(ticket);
    const created = await this.write(key, absentVersion, ticket, ClaimState.claimed);
    if (created.isOk()) {
      return this.hold(ticket, created.value);
    }
    return created.error.kind === StoreErrorKind.conflict
      ? this.claimReleased(key, ticket)
      : this.withdraw(key, ticket);
  }

  public async release(ticket: RequestDescriptor): Promise<void> {
    const version = this.held.get(ticket);
    this.held.delete(ticket);
    if (version !== undefined) {
      await this.write(keyOf(ticket), version, ticket, ClaimState.released);
    }
  }

  // The key exists: it may have been given free by a request that did not run.
  private async claimReleased(key: string, ticket: RequestDescriptor): Promise<Claim> {
    const found = await this.store.read<ClaimRecord>(key);
    if (found.isErr()) {
      return ClaimResult.unavailable;
    }
    if (found.value === undefined || found.value.data.state !== ClaimState.released) {
      return ClaimResult.taken;
    }
    const taken = await this.write(key, found.value.version, ticket, ClaimState.claimed);
    if (taken.isOk()) {
      return this.hold(ticket, taken.value);
    }
    return taken.error.kind === StoreErrorKind.conflict
      ? ClaimResult.taken
      : ClaimResult.unavailable;
  }

  // The claim may have been made although its answer was lost. It is given free if that shows.
  private async withdraw(key: string, ticket: RequestDescriptor): Promise<Claim> {
    const found = await this.store.read<ClaimRecord>(key);
    if (found.isOk() && found.value?.data.ticketId === ticket.id) {
      await this.write(key, found.value.version, ticket, ClaimState.released);
    }
    return ClaimResult.unavailable;
  }

  private hold(ticket: RequestDescriptor, version: number): Claim {
    this.held.set(ticket, version);
    return ClaimResult.granted;
  }

  private write(key: string, expected: number, ticket: RequestDescriptor, state: ClaimState) {
    const record: ClaimRecord = { ticketId: ticket.id, instanceId: this.instanceId, state };
    return this.store.compareAndSwap(key, expected, record, this.clock.wall() + claimLifeMs);
  }
}

function keyOf(ticket: RequestDescriptor): string {
  const key = encodeURIComponent(ticket.key ?? '');
  return `claim/${ticket.service}/${ticket.account}/${key}`;
}
