/** Times of future events, smallest first; equal times are kept once. */
export class EventQueue {
  private readonly heap: number[] = [];

  public get size(): number {
    return this.heap.length;
  }

  public push(time: number): void {
    this.heap.push(time);
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (this.at(parent) <= this.at(index)) {
        return;
      }
      this.swap(parent, index);
      index = parent;
    }
  }

  /** Removes and returns the earliest time, with all equal ones. */
  public pop(): number | undefined {
    const [first] = this.heap;
    while (first !== undefined && this.heap[0] === first) {
      this.removeFirst();
    }
    return first;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) {
      return;
    }
    this.heap[0] = last;
    let index = 0;
    for (;;) {
      const smallest = this.smallestOf(index);
      if (smallest === index) {
        return;
      }
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private smallestOf(index: number): number {
    let smallest = index;
    for (const child of [2 * index + 1, 2 * index + 2]) {
      if (child < this.heap.length && this.at(child) < this.at(smallest)) {
        smallest = child;
      }
    }
    return smallest;
  }

  private at(index: number): number {
    return this.heap[index] ?? Infinity;
  }

  private swap(left: number, right: number): void {
    const value = this.at(left);
    this.heap[left] = this.at(right);
    this.heap[right] = value;
  }
}
