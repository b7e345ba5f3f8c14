import type { Clock } from '@apricothoist/common';
import { rendezvousOwner } from '@apricothoist/common';
import type { Membership } from '@apricothoist/mesh';
import { StoreState } from '@apricothoist/platform';

import type { PlanKeeper } from './PlanKeeper.js';
import { outageRenewalMs } from './PlanRunner.js';

/** What decides whether this instance renews task leases without holding the scheduler's lease. */
export interface RenewalRoleContext {
  readonly clock: Clock;
  readonly plans: PlanKeeper;
  readonly membership: Membership;
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly storeState: () => StoreState;
  /** Whether the platform's list names this instance, so that others know it may renew. */
  readonly isListed: () => boolean;
}

/**
 * Decides which instance renews task leases while the store is down. A renewal only repeats what
 * the newest known plan says, so two instances doing it at once is harmless.
 */
export class RenewalRole {
  public constructor(private readonly context: RenewalRoleContext) {}

  public mayRenew(): boolean {
    const { clock, plans, membership, instanceId, dataCentre } = this.context;
    const isOutage = this.context.storeState() === StoreState.down;
    const isFresh = clock.wall() - plans.confirmedAt < outageRenewalMs;
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
