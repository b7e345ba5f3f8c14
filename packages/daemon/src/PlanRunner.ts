import type { Clock, Event } from '@apricothoist/common';
import { Emitter, PeriodicTask } from '@apricothoist/common';
import type { GuaranteeUnit, Plan, Scheduler } from '@apricothoist/scheduler';
import { AttemptState } from '@apricothoist/scheduler';

import type { ConfigurationCache } from './ConfigurationCache.js';
import type { LeaderLease } from './LeaderLease.js';
import type { PlanError, PlanRepository } from './PlanRepository.js';
import { PlanErrorKind } from './PlanRepository.js';
import type { RenewalFence } from './RenewalFence.js';
import type { WorkerGateway } from './WorkerGateway.js';
import { workerTimeoutMs, taskLeaseMs } from './WorkerGateway.js';

/** Dependencies of a `PlanRunner`. */
export interface PlanRunnerServices {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly plans: PlanRepository;
  readonly configurations: ConfigurationCache;
  readonly gateway: WorkerGateway;
  readonly lease: LeaderLease;
  readonly fence: RenewalFence;
  /** Whether this instance renews task leases while no instance can acquire the leader lease. */
  readonly mayRenewInOutage: () => boolean;
}

/** Step interval in milliseconds while any attempt is not running; its transitions have deadlines. */
const transitionStepIntervalMs = 100;
/** Step interval while all attempts are running. Reports and plan changes also trigger a step. */
const steadyStepIntervalMs = 500;
/** Time in milliseconds that a new leader waits for the first report of every worker. */
const firstReportsTimeoutMs = 3_000;
/** Time in milliseconds for which task leases are renewed without confirmation from the store. */
export const maxOutageRenewalMs = 4 * 60 * 60_000;

/** Schedules a data centre while this instance holds its leader lease. */
export class PlanRunner implements AsyncDisposable {
  private readonly task: PeriodicTask;

  private readonly leadershipChanged = new Emitter<boolean>();

  /** Fires with true when this instance becomes the leader, with false when it stops being it. */
  public readonly onLeadership: Event<boolean> = this.leadershipChanged.event;

  private readonly shortfallChanged = new Emitter<readonly GuaranteeUnit[]>();

  /** Fires when the set of guarantee units that cannot be met changes. */
  public readonly onShortfall: Event<readonly GuaranteeUnit[]> = this.shortfallChanged.event;

  private readonly outageRenewalStarted = new Emitter<void>();

  /** Fires when this instance starts to renew task leases during a store outage. */
  public readonly onOutageRenewal: Event<void> = this.outageRenewalStarted.event;

  private readonly writeFailed = new Emitter<PlanError>();

  public readonly onWriteFailed: Event<PlanError> = this.writeFailed.event;

  private isLeading = false;

  private isRenewingInOutage = false;

  private leadershipChangedAt = 0;

  private shortfallKey = '';

  public constructor(
    private readonly services: PlanRunnerServices,
    onError: (error: unknown) => void,
  ) {
    this.task = new PeriodicTask(
      () => this.step(),
      () => (this.hasTransitioningAttempts ? transitionStepIntervalMs : steadyStepIntervalMs),
      onError,
    );
    services.gateway.onReport(() => this.task.wake());
    services.plans.onAdopt(() => {
      services.gateway.callChangedWorkers();
      this.task.wake();
    });
  }

  public get isLeader(): boolean {
    return this.isLeading;
  }

  public start(): void {
    this.task.start();
  }

  public wake(): void {
    this.task.wake();
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.task[Symbol.asyncDispose]();
    await this.services.lease.release();
    this.leadershipChanged[Symbol.dispose]();
    this.shortfallChanged[Symbol.dispose]();
    this.outageRenewalStarted[Symbol.dispose]();
    this.writeFailed[Symbol.dispose]();
  }

  private get hasTransitioningAttempts(): boolean {
    const { attempts } = this.services.plans.current;
    return attempts.some((attempt) => attempt.state !== AttemptState.running);
  }

  private async step(): Promise<void> {
    const { lease, gateway, configurations } = this.services;
    if (configurations.current === undefined) {
      return;
    }
    await lease.maintain();
    await this.updateLeadership(lease.isHeld);
    this.updateOutageRenewal(!this.isLeading && this.services.mayRenewInOutage());
    if (this.isLeading || this.isRenewingInOutage) {
      gateway.activate();
    } else {
      gateway.deactivate();
    }
    if (this.isLeading && this.hasAwaitedFirstReports()) {
      await this.runScheduler();
    }
  }

  private updateOutageRenewal(isRenewing: boolean): void {
    if (isRenewing && !this.isRenewingInOutage) {
      this.outageRenewalStarted.fire();
    }
    this.isRenewingInOutage = isRenewing;
  }

  private async updateLeadership(isHeld: boolean): Promise<void> {
    if (isHeld === this.isLeading) {
      return;
    }
    this.isLeading = isHeld;
    this.leadershipChangedAt = this.services.clock.monotonic();
    this.leadershipChanged.fire(isHeld);
    if (isHeld) {
      // Observations from an earlier leadership term may be outdated; the next activation resets them.
      this.services.gateway.deactivate();
      await this.services.plans.refresh();
    }
  }

  private hasAwaitedFirstReports(): boolean {
    const waitedMs = this.services.clock.monotonic() - this.leadershipChangedAt;
    return this.services.gateway.hasContactedAll || waitedMs > firstReportsTimeoutMs;
  }

  private async runScheduler(): Promise<void> {
    const { scheduler, plans, configurations, gateway, clock, fence, lease } = this.services;
    const active = configurations.current;
    if (active === undefined) {
      return;
    }
    const now = clock.wall();
    const decision = scheduler.step({
      plan: plans.current,
      configuration: active.configuration,
      workers: gateway.workers,
      observations: gateway.observations,
      limits: {
        now,
        staleBefore: now - workerTimeoutMs,
        fencedRevision: fence.revision(),
        releasedBefore: now - maxOutageRenewalMs - taskLeaseMs,
      },
    });
    this.updateShortfall(decision.shortfall);
    if (decision.plan !== undefined && lease.isHeld) {
      await this.write(decision.plan);
    }
  }

  private async write(plan: Plan): Promise<void> {
    const written = await this.services.plans.write(plan);
    if (written.isOk()) {
      return;
    }
    this.writeFailed.fire(written.error);
    if (written.error.kind !== PlanErrorKind.unavailable) {
      await this.services.plans.refresh();
    }
  }

  private updateShortfall(shortfall: readonly GuaranteeUnit[]): void {
    const key = shortfall.map((unit) => unit.id).join();
    if (key !== this.shortfallKey) {
      this.shortfallKey = key;
      this.shortfallChanged.fire(shortfall);
    }
  }
}
