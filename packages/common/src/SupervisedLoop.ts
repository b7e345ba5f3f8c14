import { delay } from './delay.js';

/** First and longest back-off in milliseconds after a step that has thrown. */
const firstRetryMs = 100;
const maxRetryMs = 2_000;

/** Called with an error that a step of a loop has thrown, and the name of the loop. */
export type LoopErrorHandler = (error: unknown, loop: string) => void;

/**
 * Repeats an asynchronous step until it is disposed. A step that throws does not end the loop: the
 * error is passed on, and the next step follows after a back-off that grows up to two seconds.
 */
export class SupervisedLoop implements Disposable {
  private isStopped = false;

  /** @param step work of one round; it decides itself how long it waits */
  public constructor(
    private readonly name: string,
    private readonly step: () => Promise<void>,
  ) {}

  public start(onError: LoopErrorHandler): void {
    this.run(onError).catch((error: unknown) => onError(error, this.name));
  }

  private async run(onError: LoopErrorHandler): Promise<void> {
    let retryMs = firstRetryMs;
    while (!this.isStopped) {
      try {
        await this.step();
        retryMs = firstRetryMs;
      } catch (error) {
        onError(error, this.name);
        await delay(retryMs);
        retryMs = Math.min(maxRetryMs, retryMs * 2);
      }
    }
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
  }
}
