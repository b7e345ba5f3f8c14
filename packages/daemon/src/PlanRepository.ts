import type { Clock, Event } from '@apricothoist/common';
import { Emitter, LayerError } from '@apricothoist/common';
import type { Store, StoreError, StoreErrorKind } from '@apricothoist/platform';
import { absentVersion } from '@apricothoist/platform';
import type { Plan, PlanChange } from '@apricothoist/scheduler';
import { applyChanges, createPlan, planSchema } from '@apricothoist/scheduler';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export const PlanErrorKind = {
  /** Another instance changed the plan concurrently. */
  conflict: 'conflict',
  unavailable: 'unavailable',
  /** The write may or may not have been applied. */
  unknown: 'unknown',
} as const;
export type PlanErrorKind = (typeof PlanErrorKind)[keyof typeof PlanErrorKind];

/** Failure to read or write a plan. */
export class PlanError extends LayerError<PlanErrorKind> {}

type Outcome<T> = Result<T, PlanError>;

/** A change that is queued for the next batch write. */
interface PendingChange {
  readonly change: PlanChange;
  readonly settle: (result: Outcome<Plan>) => void;
}

export const planPrefix = 'plan/';
/** Maximum number of read-modify-write attempts per batch of changes. */
const maxWriteAttempts = 8;

const errorKinds: Record<StoreErrorKind, PlanErrorKind> = {
  conflict: PlanErrorKind.conflict,
  unknown: PlanErrorKind.unknown,
  unavailable: PlanErrorKind.unavailable,
  timeout: PlanErrorKind.unavailable,
  overBudget: PlanErrorKind.unavailable,
  malformed: PlanErrorKind.unavailable,
};

/** Reads and writes the plan of one data centre and holds the newest known revision. */
export class PlanRepository implements Disposable {
  private plan: Plan;

  /** Store version of the current plan; undefined if it came from a peer or after a failed write. */
  private version: number | undefined;

  private pendingChanges: PendingChange[] = [];

  private isWriting = false;

  /** Wall-clock milliseconds at which the store last confirmed the plan. */
  public confirmedAt = 0;

  private readonly adopted = new Emitter<Plan>();

  public readonly onAdopt: Event<Plan> = this.adopted.event;

  public readonly key: string;

  public constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    public readonly dataCentre: string,
  ) {
    this.plan = createPlan(dataCentre);
    this.key = `${planPrefix}${dataCentre}`;
  }

  public get current(): Plan {
    return this.plan;
  }

  /** Reads the plan from the store and adopts it if it is newer. */
  public async refresh(): Promise<Outcome<Plan>> {
    const read = await this.store.read<Plan>(this.key);
    if (read.isErr()) {
      return err(toPlanError(read.error));
    }
    if (read.value === undefined) {
      // Plans are never deleted, so a missing key after a known revision means a stale read.
      this.version = this.plan.revision === 0 ? absentVersion : this.version;
      this.confirmedAt = this.clock.wall();
      return ok(this.plan);
    }
    if (read.value.data.revision >= this.plan.revision) {
      this.version = read.value.version;
      this.confirmedAt = this.clock.wall();
      this.adopt(read.value.data);
    }
    return ok(this.plan);
  }

  /** Records that the plan in the store has not changed since it was read. */
  public markConfirmed(): void {
    if (this.version !== undefined) {
      this.confirmedAt = this.clock.wall();
    }
  }

  /** Adopts a plan received from a peer if it is valid and newer. */
  public offer(candidate: unknown, confirmedAt: number): void {
    const checked = planSchema.safeParse(candidate);
    if (!checked.success || checked.data.dataCentre !== this.dataCentre) {
      return;
    }
    this.confirmedAt = Math.max(this.confirmedAt, confirmedAt);
    if (checked.data.revision > this.plan.revision) {
      this.version = undefined;
      this.adopt(checked.data);
    }
  }

  /** Writes the successor of the current plan by compare-and-swap. */
  public async write(next: Plan): Promise<Outcome<Plan>> {
    if (this.version === undefined) {
      return err(new PlanError(PlanErrorKind.conflict, 'the plan has to be read first'));
    }
    const written = await this.store.compareAndSwap(this.key, this.version, next);
    if (written.isErr()) {
      // The version in the store is unknown until the next read.
      this.version = undefined;
      return err(toPlanError(written.error));
    }
    if (next.revision > this.plan.revision) {
      this.version = written.value;
      this.confirmedAt = this.clock.wall();
      this.adopt(next);
    }
    return ok(next);
  }

  /** Applies an operator's change. Concurrent changes are batched into one write. */
  public change(change: PlanChange): Promise<Outcome<Plan>> {
    return new Promise((resolve) => {
      this.pendingChanges.push({ change, settle: resolve });
      this.writePending().catch((error: unknown) => {
        throw error;
      });
    });
  }

  public [Symbol.dispose](): void {
    this.adopted[Symbol.dispose]();
  }

  private async writePending(): Promise<void> {
    if (this.isWriting) {
      return;
    }
    this.isWriting = true;
    while (this.pendingChanges.length > 0) {
      const batch = this.pendingChanges;
      this.pendingChanges = [];
      const result = await this.writeBatch(batch.map((item) => item.change));
      batch.forEach((item) => item.settle(result));
    }
    this.isWriting = false;
  }

  private async writeBatch(changes: readonly PlanChange[]): Promise<Outcome<Plan>> {
    let last: Outcome<Plan> = err(new PlanError(PlanErrorKind.conflict, 'not tried'));
    for (let attempt = 0; attempt < maxWriteAttempts; attempt += 1) {
      const current = this.version === undefined ? await this.refresh() : ok(this.plan);
      if (current.isErr()) {
        return current;
      }
      const next = applyChanges(current.value, changes, this.clock.wall());
      if (next === undefined) {
        return ok(current.value);
      }
      last = await this.write(next);
      if (last.isOk() || last.error.kind === PlanErrorKind.unavailable) {
        return last;
      }
    }
    return last;
  }

  private adopt(plan: Plan): void {
    if (plan.revision > this.plan.revision) {
      this.plan = plan;
      this.adopted.fire(plan);
    }
  }
}

function toPlanError(error: StoreError): PlanError {
  return new PlanError(errorKinds[error.kind], error.message, { cause: error });
}
