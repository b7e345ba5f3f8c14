import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random number generator; the same seed always gives the same sequence. */
export class Random {
  private readonly generator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  public fraction(): number {
    return uniformFloat64(this.generator);
  }

  /** Uniform integer in [0, bound). */
  public below(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /** Uniformly chosen element of a non-empty list. */
  public pick<T>(items: readonly T[]): T {
    return items[this.below(items.length)] as T;
  }

  /** Exponentially distributed with the given mean. */
  public exponential(mean: number): number {
    return -Math.log(1 - this.fraction()) * mean;
  }

  /** Uniform in [value x (1 - spread), value x (1 + spread)). */
  public jitter(value: number, ratio: number): number {
    return value * (1 + ratio * (2 * this.fraction() - 1));
  }
}
