/** Stored form of a failed run; the id is empty if the runner is not known. */
export type FailedRunRecord = readonly [run: number, runnerId: string];

/** Failed runs that are kept of a task whose attempts are not limited. */
const maxUnlimitedRuns = 16;

/**
 * The failed runs of a task group. A run counts once, however many of its members fail and whichever
 * scheduling instance hears of them, in any order.
 */
export class FailedRuns {
  /** Ids of the runners whose ends were heard first, by run. */
  private readonly runnerIds = new Map<number, string>();

  /** Failed runs that are known by number only, from a record of an earlier version. */
  private unnamed = 0;

  /** @param hasLimit whether the attempts of the task group are limited */
  public constructor(private readonly hasLimit: boolean) {}

  /** Number of failed runs. */
  public get count(): number {
    return this.unnamed + this.runnerIds.size;
  }

  /** Adds a run; returns false if it is counted already. */
  public add(run: number, runnerId: string): boolean {
    if (this.runnerIds.has(run)) {
      return false;
    }
    this.runnerIds.set(run, runnerId);
    const [oldest] = this.runnerIds.keys();
    if (!this.hasLimit && this.runnerIds.size > maxUnlimitedRuns && oldest !== undefined) {
      this.runnerIds.delete(oldest);
    }
    return true;
  }

  // Asked for each runner in each scheduling round; most task groups have no failed run.
  public hasFailedOn(runnerId: string): boolean {
    return this.runnerIds.size > 0 && [...this.runnerIds.values()].includes(runnerId);
  }

  public get records(): readonly FailedRunRecord[] {
    return [...this.runnerIds];
  }

  /** @param count number of failed runs, of which `records` may name only some */
  public restore(count: number, records: readonly FailedRunRecord[]): void {
    records.forEach(([run, runnerId]) => this.add(run, runnerId));
    this.unnamed = Math.max(0, count - this.runnerIds.size);
  }
}
