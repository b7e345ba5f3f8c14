import type { Clock, Event } from '@apricothoist/common';
import { Emitter, PeriodicTask } from '@apricothoist/common';
import type { GuaranteeUnit, Plan, Scheduler } from '@apricothoist/scheduler';
import { AttemptState } from '@apricothoist/scheduler';

import type { ConfigurationKeeper } from './ConfigurationKeeper.js';
import type { LeaderLease } from './LeaderLease.js';
import type { PlanError, PlanKeeper } from './PlanKeeper.js';
import { PlanErrorKind } from './PlanKeeper.js';
import type { RenewalFence } from './RenewalFence.js';
import type { WorkerGateway } from './WorkerGateway.js';
import { lostAfterMs, taskLeaseMs } from './WorkerGateway.js';

/** What the runner works with. */
export interface PlanRunnerServices {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly plans: PlanKeeper;
  readonly configurations: ConfigurationKeeper;
  readonly gateway: WorkerGateway;
  readonly lease: LeaderLease;
  readonly fence: RenewalFence;
  /** Whether this instance renews task leases although nobody can hold the scheduler's lease. */
  readonly mayRenewInOutage: () => boolean;
}

/** Interval in milliseconds of steps while attempts change, which have deadlines. */
const busyStepMs = 100;
/** The same while all attempts run; reports and changes wake the runner besides. */
const calmStepMs = 500;
/** Milliseconds that a new leader waits for the workers' first reports. */
const rebuildLimitMs = 3_000;
/** Milliseconds for which tasks are renewed without word from the store. */
export const outageRenewalMs = 4 * 60 * 60_000;

/** Schedules a data centre while this instance holds its lease. */
export class PlanRunner implements AsyncDisposable {
  private readonly task: PeriodicTask;

  private readonly leadership = new Emitter<boolean>();

  /** Fires when this instance begins (true) or ceases (false) to schedule. */
  public readonly onLeadership: Event<boolean> = this.leadership.event;

  private readonly shortage = new Emitter<readonly GuaranteeUnit[]>();

  /** Fires when the guarantee units that cannot be met have changed. */
  public readonly onShortfall: Event<readonly GuaranteeUnit[]> = this.shortage.event;

  private readonly outageRenewal = new Emitter<void>();

  /** Fires when this instance begins to renew leases although nobody can schedule. */
  public readonly onOutageRenewal: Event<void> = this.outageRenewal.event;

  private readonly failed = new Emitter<PlanError>();

  public readonly onWriteFailed: Event<PlanError> = this.failed.event;

  private isLeading = false;

  private isRenewingInOutage = false;

  private leadingSince = 0;

  private shortfallKey = '';

  public constructor(
    private readonly services: PlanRunnerServices,
    onError: (error: unknown) => void,
  ) {
    this.task = new PeriodicTask(
      () => this.step(),
      () => (this.isChanging ? busyStepMs : calmStepMs),
      onError,
    );
    services.gateway.onReport(() => this.task.wake());
    services.plans.onAdopt(() => {
      services.gateway.push();
      this.task.wake();
    });
  }

  public get leads(): boolean {
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
    this.leadership[Symbol.dispose]();
    this.shortage[Symbol.dispose]();
    this.outageRenewal[Symbol.dispose]();
    this.failed[Symbol.dispose]();
  }

  private get isChanging(): boolean {
    const { attempts } = this.services.plans.current;
    return attempts.some((attempt) => attempt.state !== AttemptState.running);
  }

  private async step(): Promise<void> {
    const { lease, gateway, configurations } = this.services;
    if (configurations.current === undefined) {
      return;
    }
    await lease.maintain();
    await this.noteLeadership(lease.isHeld);
    this.noteOutageRenewal(!this.isLeading && this.services.mayRenewInOutage());
    if (this.isLeading || this.isRenewingInOutage) {
      gateway.activate();
    } else {
      gateway.deactivate();
    }
    if (this.isLeading && this.isRebuilt()) {
      await this.decide();
    }
  }

  private noteOutageRenewal(isRenewing: boolean): void {
    if (isRenewing && !this.isRenewingInOutage) {
      this.outageRenewal.fire();
    }
    this.isRenewingInOutage = isRenewing;
  }

  private async noteLeadership(isHeld: boolean): Promise<void> {
    if (isHeld === this.isLeading) {
      return;
    }
    this.isLeading = isHeld;
    this.leadingSince = this.services.clock.monotonic();
    this.leadership.fire(isHeld);
    if (isHeld) {
      // Observations from an earlier term are no evidence.
      this.services.gateway.deactivate();
      await this.services.plans.refresh();
    }
  }

  private isRebuilt(): boolean {
    const waitedMs = this.services.clock.monotonic() - this.leadingSince;
    return this.services.gateway.hasHeardAll || waitedMs > rebuildLimitMs;
  }

  private async decide(): Promise<void> {
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
        staleBefore: now - lostAfterMs,
        fencedRevision: fence.revision(),
        releasedBefore: now - outageRenewalMs - taskLeaseMs,
      },
    });
    this.noteShortfall(decision.shortfall);
    if (decision.plan !== undefined && lease.isHeld) {
      await this.write(decision.plan);
    }
  }

  private async write(plan: Plan): Promise<void> {
    const written = await this.services.plans.write(plan);
    if (written.isOk()) {
      return;
    }
    this.failed.fire(written.error);
    if (written.error.kind !== PlanErrorKind.unavailable) {
      await this.services.plans.refresh();
    }
  }

  private noteShortfall(shortfall: readonly GuaranteeUnit[]): void {
    const key = shortfall.map((unit) => unit.id).join();
    if (key !== this.shortfallKey) {
      this.shortfallKey = key;
      this.shortage.fire(shortfall);
    }
  }
}
