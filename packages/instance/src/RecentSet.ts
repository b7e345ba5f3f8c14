/** Bounded set that evicts the least recently added member. */
export class RecentSet {
  private readonly members = new Set<string>();

  public constructor(private readonly capacity: number) {}

  public has(member: string): boolean {
    return this.members.has(member);
  }

  public add(member: string): void {
    this.members.delete(member);
    this.members.add(member);
    const [oldest] = this.members;
    if (this.members.size > this.capacity && oldest !== undefined) {
      this.members.delete(oldest);
    }
  }
}
