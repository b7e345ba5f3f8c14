/** Min-heap of the times of future events; equal times are returned once. */
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
      if (this.timeAt(parent) <= this.timeAt(index)) {
        return;
      }
      this.swap(parent, index);
      index = parent;
    }
  }

  /** Removes the earliest time with all equal entries and returns it; undefined when empty. */
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
      const smallest = this.indexOfSmallest(index);
      if (smallest === index) {
        return;
      }
      this.swap(index, smallest);
      index = smallest;
    }
  }

  // Index of the smallest entry among a node and its children.
  private indexOfSmallest(index: number): number {
    let smallest = index;
    for (const child of [2 * index + 1, 2 * index + 2]) {
      if (child < this.heap.length && this.timeAt(child) < this.timeAt(smallest)) {
        smallest = child;
      }
    }
    return smallest;
  }

  private timeAt(index: number): number {
    return this.heap[index] ?? Infinity;
  }

  private swap(left: number, right: number): void {
    const value = this.timeAt(left);
    this.heap[left] = this.timeAt(right);
    this.heap[right] = value;
  }
}
