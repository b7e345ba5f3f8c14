import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import path from 'node:path';

import { LayerError, messageOf, Secret } from '@apricothoist/common';
import ini from 'ini';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

import { LogFormat, LogLevel } from '@apricothoist/telemetry';

/** Address to which a listener binds. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected letters, digits, hyphens');
const listenAddress = z.string().transform((value, context): ListenAddress => {
  const [, host = '', port = ''] = /^\[?([^\]]+?)\]?:(\d{1,5})$/.exec(value) ?? [];
  if (isIP(host) === 0 || Number(port) > 65_535) {
    context.addIssue({
      code: 'custom',
      message: 'expected an IP address and a port, as 10.0.0.1:7000',
    });
    return z.NEVER;
  }
  return { host, port: Number(port) };
});
const baseUrl = z.string().regex(/^http:\/\/[^/\s]+$/, 'expected a URL as http://10.0.0.1:2380');
const wholeNumber = z
  .string()
  .regex(/^\d{1,9}$/, 'expected a whole number')
  .transform(Number);
const fileName = z.string().min(1, 'expected a file name');

const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name,
    'data-centre': name,
    /** Time in milliseconds for which the load balancer may still send requests to a leaving instance. */
    'balancer-lag-ms': wholeNumber.default(3_000),
  }),
  listeners: z.strictObject({
    caller: listenAddress,
    operator: listenAddress,
    mesh: listenAddress,
  }),
  platform: z.strictObject({
    store: baseUrl,
    'instance-list': baseUrl,
    'store-calls-per-second': wholeNumber.default(30),
    'store-timeout-ms': wholeNumber.default(1_000),
    'list-interval-ms': wholeNumber.default(1_000),
  }),
  tokens: z
    .strictObject({
      /** INI file with one `account = token` per line. */
      'callers-file': fileName.optional(),
      'operator-file': fileName.optional(),
      'mesh-file': fileName.optional(),
    })
    .default({}),
  log: z
    .strictObject({
      level: z.enum(LogLevel).default(LogLevel.info),
      format: z.enum(LogFormat).default(LogFormat.text),
    })
    .default({ level: LogLevel.info, format: LogFormat.text }),
});

/** Validated settings of one instance. */
export type Settings = z.output<typeof settingsSchema>;

/** Credentials, read from the files named in the settings. */
export interface Credentials {
  /** Caller tokens by account; empty if callers need no token. */
  readonly callers: ReadonlyMap<string, Secret>;
  readonly operator: Secret | undefined;
  readonly mesh: Secret;
}

export const SettingsErrorKind = { unreadable: 'unreadable', invalid: 'invalid' } as const;
export type SettingsErrorKind = (typeof SettingsErrorKind)[keyof typeof SettingsErrorKind];

/** Unreadable or invalid settings; the message names the file, section and key. */
export class SettingsError extends LayerError<SettingsErrorKind> {}

/** Reads and validates a settings file. */
export function readSettings(settingsFile: string): Result<Settings, SettingsError> {
  try {
    return parseSettings(readFileSync(settingsFile, 'utf8'), settingsFile);
  } catch (cause) {
    const message = `${settingsFile}: ${messageOf(cause)}`;
    return err(new SettingsError(SettingsErrorKind.unreadable, message, { cause }));
  }
}

/** Validates the text of a settings file. Error messages refer to it as `source`. */
export function parseSettings(text: string, source: string): Result<Settings, SettingsError> {
  const checked = settingsSchema.safeParse(JSON.parse(JSON.stringify(ini.parse(text))));
  if (!checked.success) {
    const lines = checked.error.issues.map((issue) => describeIssue(issue, source));
    return err(new SettingsError(SettingsErrorKind.invalid, lines.join('\n')));
  }
  const exposed = findExposedListener(checked.data, source);
  return exposed === undefined
    ? ok(checked.data)
    : err(new SettingsError(SettingsErrorKind.invalid, exposed));
}

/** Reads the credential files; their paths are relative to the settings file. */
export function readCredentials(
  settings: Settings,
  settingsFile: string,
): Result<Credentials, SettingsError> {
  const folder = path.dirname(settingsFile);
  const read = (reference: string): string =>
    readFileSync(path.resolve(folder, reference), 'utf8').trim();
  const { tokens } = settings;
  try {
    return ok({
      callers: parseCallers(
        tokens['callers-file'] === undefined ? '' : read(tokens['callers-file']),
      ),
      operator:
        tokens['operator-file'] === undefined
          ? undefined
          : new Secret(read(tokens['operator-file'])),
      mesh: new Secret(tokens['mesh-file'] === undefined ? '' : read(tokens['mesh-file'])),
    });
  } catch (cause) {
    const message = `${settingsFile}: [tokens]: ${messageOf(cause)}`;
    return err(new SettingsError(SettingsErrorKind.unreadable, message, { cause }));
  }
}

function parseCallers(text: string): Map<string, Secret> {
  const parsed = ini.parse(text) as Record<string, unknown>;
  return new Map(
    Object.entries(parsed).map(([account, token]) => [account, new Secret(String(token))]),
  );
}

function describeIssue(issue: z.core.$ZodIssue, source: string): string {
  const [section = '', key = ''] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const unknown = issue.keys.join(', ');
    const location =
      section === '' ? `[${unknown}]: unknown section` : `[${section}] ${unknown}: unknown key`;
    return `${source}: ${location}`;
  }
  const location = key === '' ? `[${section}]` : `[${section}] ${key}`;
  const isMissing = issue.message.endsWith('received undefined');
  return `${source}: ${location}: ${isMissing ? 'missing' : issue.message}`;
}

const tokenKeyOfListener = {
  caller: 'callers-file',
  operator: 'operator-file',
  mesh: 'mesh-file',
} as const;

function findExposedListener(settings: Settings, source: string): string | undefined {
  for (const listener of ['caller', 'operator', 'mesh'] as const) {
    const { host } = settings.listeners[listener];
    const isLoopback = host.startsWith('127.') || host === '::1';
    const key = tokenKeyOfListener[listener];
    if (!isLoopback && settings.tokens[key] === undefined) {
      return `${source}: [listeners] ${listener}: not on loopback, so [tokens] ${key} is needed`;
    }
  }
  return undefined;
}
