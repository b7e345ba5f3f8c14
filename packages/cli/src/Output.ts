import process from 'node:process';

import { createConsola } from 'consola';

/** Writes results to standard output, and progress and errors to standard error. */
export class Output {
  private readonly progressLogger = createConsola({
    stdout: process.stderr,
    stderr: process.stderr,
    formatOptions: { date: false },
  });

  /** @param isJson print results and errors as JSON on standard output, and no progress */
  public constructor(private readonly isJson: boolean) {}

  /** Prints `value` as JSON, or `lines` as text. */
  public printResult(value: unknown, lines: readonly string[]): void {
    const text = this.isJson ? JSON.stringify(value, undefined, 2) : lines.join('\n');
    if (text !== '') {
      process.stdout.write(`${text}\n`);
    }
  }

  /** Reports the progress of a command; omitted in JSON mode. */
  public printProgress(message: string): void {
    if (!this.isJson) {
      this.progressLogger.info(message);
    }
  }

  public printError(message: string, details: unknown): void {
    if (this.isJson) {
      process.stdout.write(`${JSON.stringify({ error: message, details }, undefined, 2)}\n`);
      return;
    }
    process.stderr.write(`${message}\n`);
  }
}

/** Formats rows as columns padded to equal width. */
export function formatTable(header: readonly string[], rows: readonly string[][]): string[] {
  const allRows = [[...header], ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map((row) => (row[column] ?? '').length)),
  );
  return allRows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
