/** Resource with synchronous or asynchronous disposal. */
export type DisposableResource = Disposable | AsyncDisposable;

/** Collects the resources of an object and disposes them in reverse order of registration. */
export class Disposables implements AsyncDisposable {
  private readonly items: DisposableResource[] = [];

  /** Registers and returns `item`. */
  public register<T extends DisposableResource>(item: T): T {
    this.items.push(item);
    return item;
  }

  /** Registers a function that runs on disposal. */
  public defer(release: () => void | Promise<void>): void {
    this.items.push({
      [Symbol.asyncDispose]: async () => {
        await release();
      },
    });
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    for (let item = this.items.pop(); item !== undefined; item = this.items.pop()) {
      if (Symbol.asyncDispose in item) {
        await item[Symbol.asyncDispose]();
      } else {
        item[Symbol.dispose]();
      }
    }
  }
}
