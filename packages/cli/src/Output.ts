import process from 'node:process';

import { createConsola } from 'consola';

/** Prints results to standard output, and progress and problems to standard error. */
export class Output {
  private readonly notes = createConsola({
    stdout: process.stderr,
    stderr: process.stderr,
    formatOptions: { date: false },
  });

  /** @param isJson print the machine-readable form */
  public constructor(private readonly isJson: boolean) {}

  /** Prints the result: `value` as JSON, or `lines` for people. */
  public result(value: unknown, lines: readonly string[]): void {
    const text = this.isJson ? JSON.stringify(value, undefined, 2) : lines.join('\n');
    if (text !== '') {
      process.stdout.write(`${text}\n`);
    }
  }

  /** Tells a waiting person how far the command is. */
  public progress(message: string): void {
    if (!this.isJson) {
      this.notes.info(message);
    }
  }

  public problem(message: string, details: unknown): void {
    if (this.isJson) {
      process.stdout.write(`${JSON.stringify({ error: message, details }, undefined, 2)}\n`);
      return;
    }
    process.stderr.write(`${message}\n`);
  }
}

/** Lays rows out in columns. */
export function formatTable(header: readonly string[], rows: readonly string[][]): string[] {
  const all = [[...header], ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? '').length)),
  );
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
