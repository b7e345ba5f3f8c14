import type { Clock, Event } from '@apricothoist/common';
import { Emitter, LayerError } from '@apricothoist/common';
import type { Store, StoreError, StoreErrorKind } from '@apricothoist/platform';
import { absentVersion } from '@apricothoist/platform';
import type { Plan, PlanChange } from '@apricothoist/scheduler';
import { applyChanges, createPlan, planSchema } from '@apricothoist/scheduler';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export const PlanErrorKind = {
  /** Another instance has changed the plan first. */
  conflict: 'conflict',
  unavailable: 'unavailable',
  /** The write may have taken effect. */
  unknown: 'unknown',
} as const;
export type PlanErrorKind = (typeof PlanErrorKind)[keyof typeof PlanErrorKind];

/** A plan that could not be read or written. */
export class PlanError extends LayerError<PlanErrorKind> {}

type Outcome<T> = Result<T, PlanError>;

/** A change that waits to be written with others. */
interface PendingChange {
  readonly change: PlanChange;
  readonly settle: (result: Outcome<Plan>) => void;
}

export const planPrefix = 'plan/';
/** Rounds of reading and writing before a change is given up. */
const maxRounds = 8;

const errorKinds: Record<StoreErrorKind, PlanErrorKind> = {
  conflict: PlanErrorKind.conflict,
  unknown: PlanErrorKind.unknown,
  unavailable: PlanErrorKind.unavailable,
  timeout: PlanErrorKind.unavailable,
  overBudget: PlanErrorKind.unavailable,
  malformed: PlanErrorKind.unavailable,
};

/** The newest plan of one data centre that this instance knows, and the way to change it. */
export class PlanKeeper implements Disposable {
  private plan: Plan;

  /** Store version of the known plan; undefined when it came from a peer. */
  private version: number | undefined;

  private pending: PendingChange[] = [];

  private isWriting = false;

  /** Wall milliseconds at which the store last confirmed the plan. */
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

  /** Reads the plan from the store. */
  public async refresh(): Promise<Outcome<Plan>> {
    const read = await this.store.read<Plan>(this.key);
    if (read.isErr()) {
      return err(toPlanError(read.error));
    }
    if (read.value === undefined) {
      // A plan that was there cannot be absent: the read is stale.
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

  /** Notes that the store's plan has not changed since it was read. */
  public noteConfirmed(): void {
    if (this.version !== undefined) {
      this.confirmedAt = this.clock.wall();
    }
  }

  /** Takes over a plan that a peer knows, if it is newer. */
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

  /** Writes the plan that follows the current one. */
  public async write(next: Plan): Promise<Outcome<Plan>> {
    if (this.version === undefined) {
      return err(new PlanError(PlanErrorKind.conflict, 'the plan has to be read first'));
    }
    const written = await this.store.compareAndSwap(this.key, this.version, next);
    if (written.isErr()) {
      // Until the next read nothing is known about the version in the store.
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

  /** Applies an operator's change. Changes asked for at the same time share a write. */
  public change(change: PlanChange): Promise<Outcome<Plan>> {
    return new Promise((resolve) => {
      this.pending.push({ change, settle: resolve });
      this.flush().catch((error: unknown) => {
        throw error;
      });
    });
  }

  public [Symbol.dispose](): void {
    this.adopted[Symbol.dispose]();
  }

  private async flush(): Promise<void> {
    if (this.isWriting) {
      return;
    }
    this.isWriting = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      const result = await this.writeBatch(batch.map((item) => item.change));
      batch.forEach((item) => item.settle(result));
    }
    this.isWriting = false;
  }

  private async writeBatch(changes: readonly PlanChange[]): Promise<Outcome<Plan>> {
    let last: Outcome<Plan> = err(new PlanError(PlanErrorKind.conflict, 'not tried'));
    for (let round = 0; round < maxRounds; round += 1) {
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
