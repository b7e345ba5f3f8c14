import type { Capacity, Shape } from '@apricothoist/scheduler';
import { acceleratorsOf, fragmentationOf } from '@apricothoist/scheduler';

/** Mean fragmentation over time, weighted by the number of free accelerators. */
export class FragmentationMeter {
  private weightedSum = 0;

  private weightedSumOfLargest = 0;

  private totalWeight = 0;

  private readonly largestShapes: Shape[];

  public constructor(private readonly guaranteedShapes: readonly Shape[]) {
    const bySize = [...guaranteedShapes].sort((a, b) => acceleratorsOf(b) - acceleratorsOf(a));
    this.largestShapes = bySize.slice(0, 1);
  }

  /** Adds an interval of `durationMs` in which the free capacity and the queue did not change. */
  public addInterval(free: Capacity, queued: readonly Shape[], durationMs: number): void {
    const weight = free.totalFree * durationMs;
    this.totalWeight += weight;
    this.weightedSum +=
      weight * fragmentationOf(free, [...this.guaranteedShapes, ...distinctShapes(queued)]);
    this.weightedSumOfLargest += weight * fragmentationOf(free, this.largestShapes);
  }

  public get mean(): number {
    return this.totalWeight === 0 ? 0 : this.weightedSum / this.totalWeight;
  }

  public get meanOfLargest(): number {
    return this.totalWeight === 0 ? 0 : this.weightedSumOfLargest / this.totalWeight;
  }
}

function distinctShapes(shapes: readonly Shape[]): Shape[] {
  const byKey = new Map(shapes.map((shape) => [JSON.stringify(shape), shape]));
  return [...byKey.values()];
}
