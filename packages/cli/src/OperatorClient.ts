import { readFileSync } from 'node:fs';
import { request } from 'node:http';

import { messageOf } from '@apricothoist/common';
import { z } from 'zod';

import { CommandError } from './CommandError.js';
import { ExitCode } from './ExitCode.js';

/** Where the command line finds an instance, and its credential. */
export interface ClientOptions {
  /** For example `http://10.0.0.5:7002`. */
  readonly server: string;
  readonly tokenFile?: string;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const callTimeoutMs = 30_000;
const problemSchema = z.object({ message: z.string() });

const exitCodeOfStatus: Readonly<Record<number, ExitCode>> = {
  400: ExitCode.badInput,
  401: ExitCode.badInput,
  404: ExitCode.badInput,
  409: ExitCode.conflict,
  422: ExitCode.badInput,
  503: ExitCode.unavailable,
  504: ExitCode.unknown,
};

/** Calls the operators' API of one instance. */
export class OperatorClient {
  private readonly token: string | undefined;

  public constructor(private readonly options: ClientOptions) {
    this.token = options.tokenFile === undefined ? undefined : readToken(options.tokenFile);
  }

  public async get<T>(path: string, schema: z.ZodType<T>): Promise<T> {
    return decode(await this.call('GET', path), schema);
  }

  public async post<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<T> {
    return decode(await this.call('POST', path, JSON.stringify(body)), schema);
  }

  private call(method: string, path: string, body = ''): Promise<Answer> {
    return new Promise((resolve, reject) => {
      let isSent = false;
      const fail = (error: unknown): void => {
        const code = isSent && method === 'POST' ? ExitCode.unknown : ExitCode.unavailable;
        reject(new CommandError(code, `${this.options.server}: ${messageOf(error)}`));
      };
      const outgoing = request(`${this.options.server}${path}`, {
        method,
        timeout: callTimeoutMs,
        headers: {
          'content-length': Buffer.byteLength(body),
          ...(this.token === undefined ? {} : { authorization: `Bearer ${this.token}` }),
        },
      });
      outgoing.on('socket', (socket) => {
        socket.once('connect', () => {
          isSent = true;
        });
      });
      outgoing.on('timeout', () => outgoing.destroy(new Error('no answer in time')));
      outgoing.on('error', fail);
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', fail);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({ status: response.statusCode ?? 0, body: parseJson(text) });
        });
      });
      outgoing.end(body);
    });
  }
}

function readToken(file: string): string {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (error) {
    throw new CommandError(ExitCode.badInput, `token file: ${messageOf(error)}`);
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return { message: text.trim() };
  }
}

function decode<T>(answer: Answer, schema: z.ZodType<T>): T {
  if (answer.status !== 200) {
    const problem = problemSchema.safeParse(answer.body);
    const message = problem.success ? problem.data.message : `status ${answer.status}`;
    const code = exitCodeOfStatus[answer.status] ?? ExitCode.failed;
    throw new CommandError(code, message, answer.body);
  }
  const checked = schema.safeParse(answer.body);
  if (!checked.success) {
    const message = `unexpected answer: ${z.prettifyError(checked.error)}`;
    throw new CommandError(ExitCode.failed, message);
  }
  return checked.data;
}
