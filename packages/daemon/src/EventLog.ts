import type { ConsolaInstance } from 'consola';
import { createConsola } from 'consola';

import type { EventKind } from './events.js';

export const LogFormat = { json: 'json', text: 'text' } as const;
export type LogFormat = (typeof LogFormat)[keyof typeof LogFormat];

export const LogLevel = { error: 'error', warn: 'warn', info: 'info' } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Details of an event, by name. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

const consolaLevels: Record<LogLevel, number> = { error: 0, warn: 1, info: 3 };

/** Logs numbered events through consola, one a line. */
export class EventLog {
  private readonly consola: ConsolaInstance;

  public constructor(
    private readonly instance: string,
    level: LogLevel,
    format: LogFormat,
  ) {
    const verbosity = consolaLevels[level];
    this.consola =
      format === LogFormat.json
        ? createConsola({
            level: verbosity,
            reporters: [{ log: (entry) => writeJson(entry.args) }],
          })
        : createConsola({ level: verbosity, formatOptions: { date: true, colors: false } });
    this.isJson = format === LogFormat.json;
  }

  private readonly isJson: boolean;

  public emit(kind: EventKind, fields: EventFields = {}): void {
    const log = this.consola[kind.level];
    if (this.isJson) {
      const { code, level, text } = kind;
      const time = new Date().toISOString();
      log({ time, code, level, instance: this.instance, event: text, ...fields });
      return;
    }
    const details = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    log([`E${kind.code}`, this.instance, kind.text, ...details].join(' '));
  }
}

function writeJson(args: readonly unknown[]): void {
  process.stdout.write(`${JSON.stringify(args[0])}\n`);
}
