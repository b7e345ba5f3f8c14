import type { Clock } from '@apricothoist/common';
import type { RequestClaims, RequestDescriptor } from '@apricothoist/router';
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

/** Retention period of a claim in milliseconds; a key can be claimed again when it has expired. */
const claimRetentionMs = 24 * 60 * 60_000;

/**
 * Request claims in the platform's store: the instance that creates the key may send the request.
 * While the store is unavailable no claim is granted, because the claims of other instances cannot
 * be seen.
 */
export class StoreClaims implements RequestClaims {
  /** Store versions of the claims held by this instance, by request. */
  private readonly heldVersions = new WeakMap<RequestDescriptor, number>();

  public constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly instanceId: string,
  ) {}

  public async claim(descriptor: RequestDescriptor): Promise<ClaimResult> {
    const key = claimKeyOf(descriptor);
    const created = await this.write(key, absentVersion, descriptor, ClaimState.claimed);
    if (created.isOk()) {
      return this.grant(descriptor, created.value);
    }
    return created.error.kind === StoreErrorKind.conflict
      ? this.claimIfReleased(key, descriptor)
      : this.releaseUnconfirmed(key, descriptor);
  }

  public async release(descriptor: RequestDescriptor): Promise<void> {
    const version = this.heldVersions.get(descriptor);
    this.heldVersions.delete(descriptor);
    if (version !== undefined) {
      await this.write(claimKeyOf(descriptor), version, descriptor, ClaimState.released);
    }
  }

  // The key exists, but it may have been released by a request that did not run.
  private async claimIfReleased(key: string, descriptor: RequestDescriptor): Promise<ClaimResult> {
    const found = await this.store.read<ClaimRecord>(key);
    if (found.isErr()) {
      return ClaimResult.unavailable;
    }
    if (found.value === undefined || found.value.data.state !== ClaimState.released) {
      return ClaimResult.taken;
    }
    const reclaimed = await this.write(key, found.value.version, descriptor, ClaimState.claimed);
    if (reclaimed.isOk()) {
      return this.grant(descriptor, reclaimed.value);
    }
    return reclaimed.error.kind === StoreErrorKind.conflict
      ? ClaimResult.taken
      : ClaimResult.unavailable;
  }

  // The write may have succeeded although its response was lost; if so, releases the claim.
  private async releaseUnconfirmed(
    key: string,
    descriptor: RequestDescriptor,
  ): Promise<ClaimResult> {
    const found = await this.store.read<ClaimRecord>(key);
    if (found.isOk() && found.value?.data.ticketId === descriptor.id) {
      await this.write(key, found.value.version, descriptor, ClaimState.released);
    }
    return ClaimResult.unavailable;
  }

  private grant(descriptor: RequestDescriptor, version: number): ClaimResult {
    this.heldVersions.set(descriptor, version);
    return ClaimResult.granted;
  }

  private write(key: string, expected: number, descriptor: RequestDescriptor, state: ClaimState) {
    const record: ClaimRecord = { ticketId: descriptor.id, instanceId: this.instanceId, state };
    return this.store.compareAndSwap(key, expected, record, this.clock.wall() + claimRetentionMs);
  }
}

function claimKeyOf(descriptor: RequestDescriptor): string {
  const key = encodeURIComponent(descriptor.key ?? '');
  return `claim/${descriptor.service}/${descriptor.account}/${key}`;
}
