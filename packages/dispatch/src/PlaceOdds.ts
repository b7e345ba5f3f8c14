/**
 * Probability that the good ones among some runners have enough places for a whole gang in one
 * site: a rack, or the whole service.
 */
export class PlaceOdds {
  /** For each site the probabilities of 0, 1, … good places, of which the last is that of enough. */
  private readonly sites = new Map<string, number[]>();

  /** @param wanted number of places that are enough */
  public constructor(private readonly wanted: number) {}

  /** Adds a runner that is good with the probability `chance`. */
  public add(site: string, places: number, chance: number): void {
    const former = this.sites.get(site) ?? [1];
    const next = new Array<number>(this.wanted + 1).fill(0);
    former.forEach((probability, count) => {
      const withRunner = Math.min(this.wanted, count + places);
      next[count] = (next[count] ?? 0) + probability * (1 - chance);
      next[withRunner] = (next[withRunner] ?? 0) + probability * chance;
    });
    this.sites.set(site, next);
  }

  /** Probability that at least one site suffices. */
  public get success(): number {
    const failures = [...this.sites.values()].map((counts) => 1 - (counts[this.wanted] ?? 0));
    return 1 - failures.reduce((product, failure) => product * failure, 1);
  }
}
