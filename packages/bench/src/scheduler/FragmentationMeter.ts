import type { Capacity, Shape } from '@apricothoist/scheduler';
import { acceleratorsOf, fragmentationOf } from '@apricothoist/scheduler';

/** Averages fragmentation over time, weighted by the free accelerators. */
export class FragmentationMeter {
  private weighted = 0;

  private weightedLarge = 0;

  private weight = 0;

  private readonly largest: Shape[];

  public constructor(private readonly guaranteed: readonly Shape[]) {
    const bySize = [...guaranteed].sort((a, b) => acceleratorsOf(b) - acceleratorsOf(a));
    this.largest = bySize.slice(0, 1);
  }

  /** Adds a stretch of time of `lengthMs` in which `free` and the queue did not change. */
  public add(free: Capacity, queued: readonly Shape[], lengthMs: number): void {
    const weight = free.totalFree * lengthMs;
    this.weight += weight;
    this.weighted += weight * fragmentationOf(free, [...this.guaranteed, ...distinct(queued)]);
    this.weightedLarge += weight * fragmentationOf(free, this.largest);
  }

  public get mean(): number {
    return this.weight === 0 ? 0 : this.weighted / this.weight;
  }

  public get meanLarge(): number {
    return this.weight === 0 ? 0 : this.weightedLarge / this.weight;
  }
}

function distinct(shapes: readonly Shape[]): Shape[] {
  const byKey = new Map(shapes.map((shape) => [JSON.stringify(shape), shape]));
  return [...byKey.values()];
}
