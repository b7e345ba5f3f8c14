/** Number of places for tasks on some runners, by site: a rack, or the whole service. */
export class PlaceCount<T> {
  private readonly sums = new Map<string, number>();

  public constructor(
    private readonly siteOf: (option: T) => string,
    private readonly placesOf: (option: T) => number,
    options: readonly T[],
  ) {
    options.forEach((option) => this.add(option));
  }

  public add(option: T): void {
    const site = this.siteOf(option);
    this.sums.set(site, (this.sums.get(site) ?? 0) + this.placesOf(option));
  }

  public at(option: T): number {
    return this.sums.get(this.siteOf(option)) ?? 0;
  }

  /** Places at the best site. */
  public get most(): number {
    return Math.max(0, ...this.sums.values());
  }
}
