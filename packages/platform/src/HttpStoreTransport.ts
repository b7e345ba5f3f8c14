import { Agent } from 'node:http';

import type { Clock } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

import type { HttpResponse, HttpCall, HttpError, HttpErrorKind } from './httpCall.js';
import { hasExpired, httpCall } from './httpCall.js';
import type { StoreChanges, StoredValue, StoreTransport, StoreWrite } from './Store.js';
import { StoreError, StoreErrorKind } from './StoreError.js';

const valueSchema = z.object({ key: z.string(), value: z.string(), version: z.number().int() });
const listSchema = z.object({ entries: z.array(valueSchema) });
const writtenSchema = z.object({ version: z.number().int() });
const changesSchema = z.object({ revision: z.number().int(), keys: z.array(z.string()) });

const readErrorKinds: Record<HttpErrorKind, StoreErrorKind> = {
  invalid: StoreErrorKind.unavailable,
  notSent: StoreErrorKind.unavailable,
  broken: StoreErrorKind.unavailable,
  timeout: StoreErrorKind.timeout,
  incomplete: StoreErrorKind.timeout,
  tooLarge: StoreErrorKind.malformed,
};
const writeErrorKinds: Record<HttpErrorKind, StoreErrorKind> = {
  invalid: StoreErrorKind.unavailable,
  notSent: StoreErrorKind.unavailable,
  broken: StoreErrorKind.unknown,
  timeout: StoreErrorKind.unknown,
  incomplete: StoreErrorKind.unknown,
  tooLarge: StoreErrorKind.unknown,
};

const okStatus = 200;
const notFoundStatus = 404;
const conflictStatus = 409;
const firstServerErrorStatus = 500;

/** HTTP client of the platform's key-value service. */
export class HttpStoreTransport implements StoreTransport, Disposable {
  private agent = new Agent({ keepAlive: true });

  /** @param baseUrl for example `http://10.0.0.5:2380` */
  public constructor(
    private readonly baseUrl: string,
    private readonly clock: Clock,
  ) {}

  public async read(
    key: string,
    deadline: number,
  ): Promise<Result<StoredValue | undefined, StoreError>> {
    const result = await this.send(
      { method: 'GET', url: this.keyUrl(key), deadline },
      readErrorKinds,
    );
    return result.andThen((response) =>
      response.status === notFoundStatus ? ok(undefined) : decode(response, valueSchema),
    );
  }

  public async list(
    prefix: string,
    deadline: number,
  ): Promise<Result<readonly StoredValue[], StoreError>> {
    const url = `${this.baseUrl}/v1/list?prefix=${encodeURIComponent(prefix)}`;
    const result = await this.send({ method: 'GET', url, deadline }, readErrorKinds);
    return result
      .andThen((response) => decode(response, listSchema))
      .map((listed) => listed.entries);
  }

  public async write(write: StoreWrite, deadline: number): Promise<Result<number, StoreError>> {
    const expiry = write.expiresAt === undefined ? '' : `&expiresAt=${write.expiresAt}`;
    const url = `${this.keyUrl(write.key)}?expected=${write.expected}${expiry}`;
    const call = { method: 'PUT', url, body: write.value, deadline } as const;
    const result = await this.send(call, writeErrorKinds);
    return result.andThen((response) =>
      response.status === conflictStatus
        ? err(new StoreError(StoreErrorKind.conflict, `"${write.key}" was changed by another`))
        : decode(response, writtenSchema).map((written) => written.version),
    );
  }

  public async watch(
    prefix: string,
    revision: number,
    deadline: number,
  ): Promise<Result<StoreChanges, StoreError>> {
    const query = `prefix=${encodeURIComponent(prefix)}&after=${revision}`;
    const url = `${this.baseUrl}/v1/watch?${query}`;
    // Not pooled: a pooled connection may have become unresponsive.
    const call = { method: 'GET', url, deadline, agent: false } as const;
    const result = await this.send(call, readErrorKinds);
    return result.andThen((response) => decode(response, changesSchema));
  }

  public [Symbol.dispose](): void {
    this.agent.destroy();
  }

  private keyUrl(key: string): string {
    return `${this.baseUrl}/v1/keys/${encodeURIComponent(key)}`;
  }

  private async send(
    call: Omit<HttpCall, 'agent'> & { agent?: false },
    kinds: Record<HttpErrorKind, StoreErrorKind>,
  ): Promise<Result<HttpResponse, StoreError>> {
    const result = await httpCall({ agent: this.agent, ...call }, this.clock);
    if (result.isErr() && hasExpired(result.error)) {
      this.replaceConnections();
    }
    return result
      .mapErr((error) => toStoreError(error, kinds))
      .andThen((response) =>
        response.status >= firstServerErrorStatus
          ? err(new StoreError(kinds.broken, `the store answered ${response.status}`))
          : ok(response),
      );
  }

  // After a time-out all pooled connections are replaced: any of them may have become unresponsive.
  private replaceConnections(): void {
    this.agent.destroy();
    this.agent = new Agent({ keepAlive: true });
  }
}

function toStoreError(error: HttpError, kinds: Record<HttpErrorKind, StoreErrorKind>): StoreError {
  return new StoreError(kinds[error.kind], error.message, { cause: error });
}

function decode<T>(response: HttpResponse, schema: z.ZodType<T>): Result<T, StoreError> {
  if (response.status !== okStatus) {
    return err(new StoreError(StoreErrorKind.malformed, `the store answered ${response.status}`));
  }
  try {
    return ok(schema.parse(JSON.parse(response.body)));
  } catch (cause) {
    return err(new StoreError(StoreErrorKind.malformed, 'unreadable store answer', { cause }));
  }
}
