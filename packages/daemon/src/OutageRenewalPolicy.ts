import type { Clock } from '@apricothoist/common';
import { rendezvousOwner } from '@apricothoist/common';
import type { Membership } from '@apricothoist/mesh';
import { StoreState } from '@apricothoist/platform';

import type { PlanRepository } from './PlanRepository.js';
import { maxOutageRenewalMs } from './PlanRunner.js';

/** Inputs for the decision whether this instance renews task leases without being the leader. */
export interface OutageRenewalContext {
  readonly clock: Clock;
  readonly plans: PlanRepository;
  readonly membership: Membership;
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly storeState: () => StoreState;
  /** Whether this instance is in the platform's list, so that others know that it may renew. */
  readonly isListed: () => boolean;
}

/**
 * Decides which instance renews task leases while the store is down. Renewals only follow the newest
 * known plan, so concurrent renewals by two instances are harmless.
 */
export class OutageRenewalPolicy {
  public constructor(private readonly context: OutageRenewalContext) {}

  public mayRenew(): boolean {
    const { clock, plans, membership, instanceId, dataCentre } = this.context;
    const isOutage = this.context.storeState() === StoreState.down;
    const isFresh = clock.wall() - plans.confirmedAt < maxOutageRenewalMs;
    if (!isOutage || !isFresh || !this.context.isListed() || plans.current.revision === 0) {
      return false;
    }
    const peers = membership.aliveMembers(dataCentre);
    const newest = Math.max(0, ...peers.map((member) => member.digest?.planRevision ?? 0));
    if (plans.current.revision < newest) {
      return false;
    }
    const candidates = peers
      .filter((member) => member.digest?.planRevision === plans.current.revision)
      .map((member) => member.instanceId);
    return rendezvousOwner(dataCentre, [instanceId, ...candidates]) === instanceId;
  }
}
