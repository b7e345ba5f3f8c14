/** Handle that removes a listener. */
export interface Subscription extends Disposable {
  dispose(): void;
}

/** Registers a listener and returns the handle that removes it. */
export type Event<T> = (listener: (value: T) => void) => Subscription;

/** Typed event source: its owner fires events, and others subscribe through `event`. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<(value: T) => void>();

  public readonly event: Event<T> = (listener) => {
    this.listeners.add(listener);
    const dispose = (): void => {
      this.listeners.delete(listener);
    };
    return { dispose, [Symbol.dispose]: dispose };
  };

  /** Calls every listener with `value`, in the order of registration. */
  public fire(value: T): void {
    [...this.listeners].forEach((listener) => listener(value));
  }

  public [Symbol.dispose](): void {
    this.listeners.clear();
  }
}
