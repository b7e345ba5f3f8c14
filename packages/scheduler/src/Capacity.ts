import type { Shape } from './Plan.js';

/** Static properties of a worker and whether the scheduler may use it. */
export interface WorkerView {
  readonly id: string;
  readonly rack: string;
  readonly accelerators: number;
  /** Whether new tasks may be placed on the worker. */
  readonly isUsable: boolean;
}

/** Number of tasks of a gang that one worker holds. The worker is given by its index. */
export interface WorkerShare {
  readonly worker: number;
  readonly tasks: number;
}

/** Available accelerators by worker, and the rack topology. Workers are addressed by index. */
export class Capacity {
  private readonly indexes: ReadonlyMap<string, number>;

  private constructor(
    public readonly workers: readonly WorkerView[],
    /** Worker indexes of each rack. */
    public readonly racks: readonly (readonly number[])[],
    /** Rack index of each worker. */
    public readonly rackOf: readonly number[],
    /** Available accelerators of each worker. */
    public readonly free: Int32Array,
    indexes?: ReadonlyMap<string, number>,
  ) {
    this.indexes = indexes ?? new Map(workers.map((worker, index) => [worker.id, index]));
  }

  /** Capacity with all accelerators of the usable workers available. */
  public static of(workers: readonly WorkerView[]): Capacity {
    const rackIndexes = new Map<string, number>();
    const racks: number[][] = [];
    const rackOf = workers.map((worker, index) => {
      const rack = rackIndexes.get(worker.rack) ?? racks.length;
      if (rack === racks.length) {
        rackIndexes.set(worker.rack, rack);
        racks.push([]);
      }
      racks[rack]?.push(index);
      return rack;
    });
    const free = Int32Array.from(workers, (worker) => (worker.isUsable ? worker.accelerators : 0));
    return new Capacity(workers, racks, rackOf, free);
  }

  public clone(): Capacity {
    const free = Int32Array.from(this.free);
    return new Capacity(this.workers, this.racks, this.rackOf, free, this.indexes);
  }

  public indexOf(workerId: string): number | undefined {
    return this.indexes.get(workerId);
  }

  public freeOf(worker: number): number {
    return Math.max(0, this.free[worker] ?? 0);
  }

  /**
   * Adds `change` to the available accelerators. The value may become negative, because a new attempt
   * is allocated while the attempts preempted for it still hold their accelerators.
   */
  public adjust(worker: number, change: number): void {
    this.free[worker] = (this.free[worker] ?? 0) + change;
  }

  public adjustById(workerId: string, change: number): void {
    const worker = this.indexOf(workerId);
    if (worker !== undefined && this.workers[worker]?.isUsable === true) {
      this.adjust(worker, change);
    }
  }

  public allocate(shares: readonly WorkerShare[], acceleratorsPerTask: number): void {
    shares.forEach((share) => this.adjust(share.worker, -share.tasks * acceleratorsPerTask));
  }

  public release(shares: readonly WorkerShare[], acceleratorsPerTask: number): void {
    shares.forEach((share) => this.adjust(share.worker, share.tasks * acceleratorsPerTask));
  }

  /** Number of tasks with `accelerators` each that fit on the given workers. */
  public taskCapacity(workers: readonly number[], accelerators: number): number {
    let tasks = 0;
    for (const worker of workers) {
      tasks += Math.floor(this.freeOf(worker) / accelerators);
    }
    return tasks;
  }

  /** Number of gangs of `shape` that fit into one rack. */
  public gangCapacity(rack: number, shape: Shape): number {
    const tasks = this.taskCapacity(this.racks[rack] ?? [], shape.acceleratorsPerWorker);
    return Math.floor(tasks / shape.workers);
  }

  /** Sum of the available accelerators. */
  public get totalFree(): number {
    return this.free.reduce((sum, free) => sum + Math.max(0, free), 0);
  }
}
