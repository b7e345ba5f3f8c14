import type { Configuration } from '@apricothoist/config';

import { AttemptState } from './charts.js';
import type { GuaranteeUnit } from './GuaranteeFeasibility.js';
import type { Attempt, Shape } from './Plan.js';
import { acceleratorsOf, fitsInside } from './Plan.js';

/** A guarantee of one account in one data centre. */
export interface GuaranteeEntry {
  readonly name: string;
  readonly account: string;
  readonly shape: Shape;
  readonly count: number;
}

/** The guarantees that are configured for one data centre. */
export function guaranteesOf(configuration: Configuration, dataCentre: string): GuaranteeEntry[] {
  return Object.entries(configuration.guarantee)
    .filter(([, section]) => section['data-centre'] === dataCentre)
    .map(([name, section]) => ({
      name,
      account: section.account,
      count: section.count,
      shape: {
        workers: section.workers,
        acceleratorsPerWorker: section['accelerators-per-worker'],
        adjacency: section.adjacency,
      },
    }))
    .sort((left, right) => (left.name < right.name ? -1 : 1));
}

/** Counts the units of each guarantee that attempts use. */
export class GuaranteeLedger {
  private readonly used = new Map<string, number>();

  public constructor(
    private readonly guarantees: readonly GuaranteeEntry[],
    attempts: readonly Attempt[],
  ) {
    attempts.forEach((attempt) => {
      if (attempt.guarantee !== undefined && attempt.state !== AttemptState.over) {
        this.use(attempt.guarantee);
      }
    });
  }

  public use(guarantee: string): void {
    this.used.set(guarantee, (this.used.get(guarantee) ?? 0) + 1);
  }

  public release(guarantee: string): void {
    this.used.set(guarantee, Math.max(0, (this.used.get(guarantee) ?? 0) - 1));
  }

  /** Guarantees of the account that a gang of this shape fits into, smallest first. */
  public matchingGuarantees(account: string, shape: Shape): GuaranteeEntry[] {
    return this.guarantees
      .filter((entry) => entry.account === account && fitsInside(shape, entry.shape))
      .sort((left, right) => acceleratorsOf(left.shape) - acceleratorsOf(right.shape));
  }

  /** The smallest guarantee of the account with an unused unit that the gang fits into. */
  public unusedFor(account: string, shape: Shape): GuaranteeEntry | undefined {
    return this.matchingGuarantees(account, shape).find((entry) => this.unusedCount(entry) > 0);
  }

  /** All units that no attempt uses. */
  public unusedUnits(): GuaranteeUnit[] {
    return this.guarantees.flatMap((entry) =>
      Array.from({ length: this.unusedCount(entry) }, (_, index) => ({
        id: `${entry.name}#${index}`,
        guarantee: entry.name,
        account: entry.account,
        shape: entry.shape,
      })),
    );
  }

  private unusedCount(entry: GuaranteeEntry): number {
    return Math.max(0, entry.count - (this.used.get(entry.name) ?? 0));
  }
}
