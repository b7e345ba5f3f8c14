/**
 * Runs an asynchronous step periodically, one run at a time. `wake` requests a run as soon as
 * possible. Disposal waits for the run in progress.
 */
export class PeriodicTask implements AsyncDisposable {
  private timer: NodeJS.Timeout | undefined;

  private current: Promise<void> | undefined;

  private isWoken = false;

  private isDisposed = false;

  /**
   * @param step work of one run; errors that it throws are passed to `onError`
   * @param delay returns the milliseconds until the next run
   */
  public constructor(
    private readonly step: () => Promise<void>,
    private readonly delay: () => number,
    private readonly onError: (error: unknown) => void,
  ) {}

  public start(): void {
    this.wake();
  }

  /** Runs the step immediately, or once more after the run in progress. */
  public wake(): void {
    if (this.isDisposed) {
      return;
    }
    if (this.current !== undefined) {
      this.isWoken = true;
      return;
    }
    clearTimeout(this.timer);
    this.current = this.run();
  }

  private async run(): Promise<void> {
    this.isWoken = false;
    try {
      await this.step();
    } catch (error) {
      this.onError(error);
    }
    this.current = undefined;
    if (this.isDisposed) {
      return;
    }
    this.timer = setTimeout(() => this.wake(), this.isWoken ? 0 : this.delay());
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    clearTimeout(this.timer);
    await this.current;
  }
}
