/** Anything that releases what it owns, at once or asynchronously. */
export type Owned = Disposable | AsyncDisposable;

/** Collects what an object owns and disposes it in reverse order of registration. */
export class Disposables implements AsyncDisposable {
  private readonly owned: Owned[] = [];

  /** Registers `item` and returns it. */
  public register<T extends Owned>(item: T): T {
    this.owned.push(item);
    return item;
  }

  /** Registers a function that runs on disposal. */
  public defer(release: () => void | Promise<void>): void {
    this.owned.push({
      [Symbol.asyncDispose]: async () => {
        await release();
      },
    });
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    for (let item = this.owned.pop(); item !== undefined; item = this.owned.pop()) {
      if (Symbol.asyncDispose in item) {
        await item[Symbol.asyncDispose]();
      } else {
        item[Symbol.dispose]();
      }
    }
  }
}
