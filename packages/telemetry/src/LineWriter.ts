import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';

import type { Clock } from '@apricothoist/common';
import { msPerSecond } from '@apricothoist/common';

/** Sustained rate in lines per second; lines beyond it are dropped and counted. */
const linesPerSecond = 300;
/** Lines that may be written in a burst after an idle period, for example at a takeover. */
const burstLines = 1_500;
/** Bytes buffered for a slow reader before lines are dropped. */
const maxBufferedBytes = 262_144;
/** Milliseconds for which lines are batched into one write. */
const flushDelayMs = 100;

/**
 * Writes lines to a file descriptor without waiting for its reader. A token bucket limits the
 * volume; excess lines are dropped and counted.
 */
export class LineWriter implements AsyncDisposable {
  private readonly stream: WriteStream;

  private pendingLines: string[] = [];

  private timer: NodeJS.Timeout | undefined;

  private tokens = burstLines;

  private refilledAt: number;

  private droppedLines = 0;

  public constructor(
    descriptor: number,
    private readonly clock: Clock,
    /** Formats the line that reports the number of dropped lines. */
    private readonly formatDropped: (count: number) => string,
  ) {
    this.stream = createWriteStream('', { fd: descriptor, autoClose: false });
    // A closed reader must not crash the process; the error counts as a dropped line.
    this.stream.on('error', () => {
      this.droppedLines += 1;
    });
    this.refilledAt = clock.monotonic();
  }

  public get dropped(): number {
    return this.droppedLines;
  }

  public write(line: string): void {
    if (!this.takeToken()) {
      this.droppedLines += 1;
      return;
    }
    this.pendingLines.push(line);
    this.timer ??= setTimeout(() => this.flush(), flushDelayMs);
  }

  private takeToken(): boolean {
    const now = this.clock.monotonic();
    const refill = ((now - this.refilledAt) * linesPerSecond) / msPerSecond;
    this.tokens = Math.min(burstLines, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1 || this.stream.writableLength > maxBufferedBytes) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private reportedDrops = 0;

  private flush(): void {
    this.timer = undefined;
    if (this.droppedLines > this.reportedDrops) {
      this.pendingLines.push(this.formatDropped(this.droppedLines - this.reportedDrops));
      this.reportedDrops = this.droppedLines;
    }
    if (this.pendingLines.length > 0) {
      this.stream.write(`${this.pendingLines.join('\n')}\n`);
      this.pendingLines = [];
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.timer);
    this.flush();
    await new Promise<void>((resolve) => {
      this.stream.end(resolve);
    });
  }
}
