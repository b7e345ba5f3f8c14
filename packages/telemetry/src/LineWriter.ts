import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';

import type { Clock } from '@apricothoist/common';
import { msPerSecond } from '@apricothoist/common';

/** Lines a second that are written for long; beyond it lines are dropped and counted. */
const linesPerSecond = 300;
/** Lines that may be written at once after a quiet time, a takeover for example. */
const burstLines = 1_500;
/** Bytes that wait for a slow reader before lines are dropped. */
const maxWaitingBytes = 262_144;
/** Milliseconds for which lines are collected into one write. */
const collectMs = 100;

/**
 * Writes lines to a file descriptor without ever waiting for its reader: the volume is bounded, and
 * what does not fit is dropped and counted.
 */
export class LineWriter implements AsyncDisposable {
  private readonly stream: WriteStream;

  private waiting: string[] = [];

  private timer: NodeJS.Timeout | undefined;

  private tokens = burstLines;

  private refilledAt: number;

  private droppedLines = 0;

  public constructor(
    descriptor: number,
    private readonly clock: Clock,
    /** Makes the line that says how many were dropped. */
    private readonly describeDropped: (count: number) => string,
  ) {
    this.stream = createWriteStream('', { fd: descriptor, autoClose: false });
    // A log whose reader is gone must not end the process; the loss shows in the count.
    this.stream.on('error', () => {
      this.droppedLines += 1;
    });
    this.refilledAt = clock.monotonic();
  }

  public get dropped(): number {
    return this.droppedLines;
  }

  public write(line: string): void {
    if (!this.admit()) {
      this.droppedLines += 1;
      return;
    }
    this.waiting.push(line);
    this.timer ??= setTimeout(() => this.flush(), collectMs);
  }

  private admit(): boolean {
    const now = this.clock.monotonic();
    const earned = ((now - this.refilledAt) * linesPerSecond) / msPerSecond;
    this.tokens = Math.min(burstLines, this.tokens + earned);
    this.refilledAt = now;
    if (this.tokens < 1 || this.stream.writableLength > maxWaitingBytes) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private reportedDrops = 0;

  private flush(): void {
    this.timer = undefined;
    if (this.droppedLines > this.reportedDrops) {
      this.waiting.push(this.describeDropped(this.droppedLines - this.reportedDrops));
      this.reportedDrops = this.droppedLines;
    }
    if (this.waiting.length > 0) {
      this.stream.write(`${this.waiting.join('\n')}\n`);
      this.waiting = [];
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
