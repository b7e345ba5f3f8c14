import type { ConsolaInstance } from 'consola';
import { createConsola } from 'consola';

import type { Clock } from '@apricothoist/common';

import type { EventKind } from './EventKind.js';
import { EventLevel } from './EventKind.js';
import { LineWriter } from './LineWriter.js';

export const LogFormat = { json: 'json', text: 'text' } as const;
export type LogFormat = (typeof LogFormat)[keyof typeof LogFormat];

export const LogLevel = { error: 'error', warn: 'warn', info: 'info' } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Structured fields of an event, by name. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logged in place of dropped lines; part of the event catalogue of every program. */
export const linesDropped: EventKind = {
  code: 199,
  level: EventLevel.warn,
  text: 'log lines dropped',
};

const consolaLevels: Record<LogLevel, number> = { error: 0, warn: 1, info: 3 };
const standardOutput = 1;

/** Logs numbered events through consola, one per line, rate-limited and without blocking. */
export class EventLog implements AsyncDisposable {
  private readonly consola: ConsolaInstance;

  private readonly writer: LineWriter;

  private readonly isJson: boolean;

  public constructor(
    private readonly instance: string,
    level: LogLevel,
    format: LogFormat,
    private readonly clock: Clock,
  ) {
    this.isJson = format === LogFormat.json;
    this.writer = new LineWriter(standardOutput, clock, (count) =>
      this.formatLine(linesDropped, { count }),
    );
    this.consola = createConsola({
      level: consolaLevels[level],
      reporters: [{ log: (entry) => this.writer.write(String(entry.args[0])) }],
    });
  }

  public get droppedLines(): number {
    return this.writer.dropped;
  }

  public emit(kind: EventKind, fields: EventFields = {}): void {
    this.consola[kind.level](this.formatLine(kind, fields));
  }

  private formatLine(kind: EventKind, fields: EventFields): string {
    const { code, level, text } = kind;
    const time = new Date(this.clock.wall()).toISOString();
    if (this.isJson) {
      return JSON.stringify({ time, code, level, instance: this.instance, event: text, ...fields });
    }
    const details = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    return [time, `E${code}`, this.instance, text, ...details].join(' ');
  }

  /** Flushes the pending lines. */
  public async [Symbol.asyncDispose](): Promise<void> {
    await this.writer[Symbol.asyncDispose]();
  }
}
