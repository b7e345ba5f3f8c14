import { readFileSync } from 'node:fs';
import { request } from 'node:http';

import { messageOf } from '@apricothoist/common';
import { z } from 'zod';

import { CommandError } from './CommandError.js';
import { ExitCode } from './ExitCode.js';

/** Address of the instance to connect to, and the credential for it. */
export interface ClientOptions {
  /** Base URL, for example `http://10.0.0.5:7002`. */
  readonly server: string;
  readonly tokenFile?: string;
}

interface ApiResponse {
  readonly status: number;
  readonly body: unknown;
}

const requestTimeoutMs = 30_000;
const errorBodySchema = z.object({ message: z.string() });

const exitCodeByStatus: Readonly<Record<number, ExitCode>> = {
  400: ExitCode.badInput,
  401: ExitCode.badInput,
  404: ExitCode.badInput,
  409: ExitCode.conflict,
  422: ExitCode.badInput,
  503: ExitCode.unavailable,
  504: ExitCode.unknown,
};

/** Client for the operators' API of one instance. */
export class OperatorClient {
  private readonly token: string | undefined;

  public constructor(private readonly options: ClientOptions) {
    this.token = options.tokenFile === undefined ? undefined : readToken(options.tokenFile);
  }

  public async get<T>(path: string, schema: z.ZodType<T>): Promise<T> {
    return decodeResponse(await this.sendRequest('GET', path), schema);
  }

  public async post<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<T> {
    return decodeResponse(await this.sendRequest('POST', path, JSON.stringify(body)), schema);
  }

  private sendRequest(method: string, path: string, body = ''): Promise<ApiResponse> {
    return new Promise((resolve, reject) => {
      let mayHaveBeenSent = false;
      const fail = (error: unknown): void => {
        const code = mayHaveBeenSent && method === 'POST' ? ExitCode.unknown : ExitCode.unavailable;
        reject(new CommandError(code, `${this.options.server}: ${messageOf(error)}`));
      };
      const outgoing = request(`${this.options.server}${path}`, {
        method,
        timeout: requestTimeoutMs,
        headers: {
          'content-length': Buffer.byteLength(body),
          ...(this.token === undefined ? {} : { authorization: `Bearer ${this.token}` }),
        },
      });
      outgoing.on('socket', (socket) => {
        socket.once('connect', () => {
          mayHaveBeenSent = true;
        });
      });
      outgoing.on('timeout', () => outgoing.destroy(new Error('request timed out')));
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

function decodeResponse<T>(response: ApiResponse, schema: z.ZodType<T>): T {
  if (response.status !== 200) {
    const errorBody = errorBodySchema.safeParse(response.body);
    const message = errorBody.success ? errorBody.data.message : `status ${response.status}`;
    const code = exitCodeByStatus[response.status] ?? ExitCode.failed;
    throw new CommandError(code, message, response.body);
  }
  const parsed = schema.safeParse(response.body);
  if (!parsed.success) {
    const message = `unexpected response: ${z.prettifyError(parsed.error)}`;
    throw new CommandError(ExitCode.failed, message);
  }
  return parsed.data;
}
