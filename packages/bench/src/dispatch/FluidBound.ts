/** Work that earns `value` if all of it is done between release and deadline. */
export interface FluidWork {
  readonly releasedAt: number;
  readonly deadline: number;
  /** Amount of work, in units of capacity times milliseconds. */
  readonly amount: number;
  readonly value: number;
}

/** Length of a time slot; times are rounded to slots outwards, so that the bound remains one. */
const slotMs = 500;

/**
 * Upper bound of the value that any schedule earns on a single resource, with all durations known.
 *
 * It bounds a fluid schedule: work may run at any rate, be split among runners and be interrupted
 * without loss, and part of a job earns its part of the value. It does not know gangs, racks,
 * gaps on runners, the time of stops and the speed that a single job can reach; a real schedule
 * cannot earn more, and generally earns less.
 *
 * The amounts that fit are those that do not exceed the capacity of any interval. They form a
 * polymatroid, so that taking as much as possible of the work with the greatest value per unit
 * first is optimal.
 */
export class FluidBound {
  private readonly slots: number;

  /** Free capacity of the interval from one slot up to and including another one. */
  private readonly free: readonly Float64Array[];

  /**
   * @param capacity work that is done per millisecond
   * @param horizon time after which work is held to be done without using capacity
   */
  public constructor(capacity: number, horizon: number) {
    this.slots = Math.ceil(horizon / slotMs);
    this.free = Array.from({ length: this.slots }, (_, first) =>
      Float64Array.from({ length: this.slots }, (_unused, last) =>
        Math.max(0, (last - first + 1) * slotMs * capacity),
      ),
    );
  }

  /** Shares of the works that give the greatest total value. */
  public maximize(works: readonly FluidWork[]): Map<FluidWork, number> {
    const density = ({ value, amount }: FluidWork): number => value / Math.max(1, amount);
    const sorted = [...works].sort((left, right) => density(right) - density(left));
    return new Map(sorted.map((work) => [work, this.take(work)]));
  }

  // Takes as much of the work as fits beside what was taken before; returns its share.
  private take({ releasedAt, deadline, amount }: FluidWork): number {
    const release = Math.floor(releasedAt / slotMs);
    const due = Math.ceil(deadline / slotMs) - 1;
    if (due >= this.slots || amount === 0) {
      return 1;
    }
    let taken = amount;
    for (let first = 0; first <= release; first += 1) {
      const row = this.free[first] as Float64Array;
      for (let last = due; last < this.slots; last += 1) {
        taken = Math.min(taken, row[last] as number);
      }
    }
    for (let first = 0; first <= release; first += 1) {
      const row = this.free[first] as Float64Array;
      for (let last = due; last < this.slots; last += 1) {
        row[last] = (row[last] as number) - taken;
      }
    }
    return taken / amount;
  }
}
