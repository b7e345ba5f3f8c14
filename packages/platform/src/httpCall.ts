import type { Agent, ClientRequest, IncomingHttpHeaders } from 'node:http';
import { request } from 'node:http';

import type { Clock } from '@apricothoist/common';
import { LayerError, messageOf } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export const HttpErrorKind = {
  /** The URL or a header cannot be sent; nothing was. */
  invalid: 'invalid',
  /** The connection could not be established; the request was not sent. */
  notSent: 'notSent',
  /** The connection failed, or the response was truncated, after the request was sent. */
  broken: 'broken',
  /** No response before the deadline. */
  timeout: 'timeout',
  /** Only a part of the response before the deadline. */
  incomplete: 'incomplete',
  /** The response exceeds the size limit. */
  tooLarge: 'tooLarge',
} as const;
export type HttpErrorKind = (typeof HttpErrorKind)[keyof typeof HttpErrorKind];

/** A failed HTTP call. */
export class HttpError extends LayerError<HttpErrorKind> {}

/** Whether the call ended at its deadline, so that its connection may be unresponsive. */
export function hasExpired({ kind }: HttpError): boolean {
  return kind === HttpErrorKind.timeout || kind === HttpErrorKind.incomplete;
}

/** Extension of a deadline by each part of a response, for responses of any size over any link. */
export interface DeadlineExtension {
  /** Milliseconds without a byte after which a response that has begun counts as broken off. */
  readonly idleTimeoutMs: number;
  /** Monotonic milliseconds beyond which the deadline is not extended. */
  readonly finalDeadline: number;
}

export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /** Extends the deadline while the response arrives; without it, the deadline is final. */
  readonly extension?: DeadlineExtension;
  /** Connection pool, or false for a separate connection. */
  readonly agent: Agent | false;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

const maxResponseBytes = 4_000_000;

/** Makes one HTTP call and buffers the response. On failure the connection is destroyed. */
export async function httpCall(
  call: HttpCall,
  clock: Clock,
): Promise<Result<HttpResponse, HttpError>> {
  const opened = openRequest(call);
  return opened.isErr() ? err(opened.error) : exchange(opened.value, call, clock);
}

// An address or a header that somebody else wrote may be none.
function openRequest(call: HttpCall): Result<ClientRequest, HttpError> {
  try {
    const outgoing = request(call.url, {
      method: call.method,
      agent: call.agent,
      headers: { ...call.headers, 'content-length': Buffer.byteLength(call.body ?? '') },
    });
    return ok(outgoing);
  } catch (cause) {
    const message = `${call.url}: ${messageOf(cause)}`;
    return err(new HttpError(HttpErrorKind.invalid, message, { cause }));
  }
}

function exchange(
  outgoing: ClientRequest,
  call: HttpCall,
  clock: Clock,
): Promise<Result<HttpResponse, HttpError>> {
  return new Promise((resolve) => {
    let isSent = false;
    const chunks: Buffer[] = [];
    let size = 0;
    let expectedBytes = 'unknown';
    let { deadline } = call;
    let isFinished = false;
    let timer = setTimeout(expire, Math.max(0, deadline - clock.monotonic()));
    function finish(result: Result<HttpResponse, HttpError>): void {
      isFinished = true;
      clearTimeout(timer);
      if (result.isErr()) {
        outgoing.destroy();
      }
      resolve(result);
    }
    // A part that arrived while the process was busy is received before the call ends.
    function expire(): void {
      const expiredTimer = timer;
      setImmediate(() => {
        if (expiredTimer === timer && !isFinished) {
          endAtDeadline();
        }
      });
    }
    function extendDeadline(): void {
      if (call.extension === undefined || isFinished) {
        return;
      }
      const { idleTimeoutMs, finalDeadline } = call.extension;
      const now = clock.monotonic();
      if (now >= finalDeadline) {
        return;
      }
      deadline = Math.max(deadline, Math.min(now + idleTimeoutMs, finalDeadline));
      clearTimeout(timer);
      timer = setTimeout(expire, Math.max(0, deadline - now));
    }
    function endAtDeadline(): void {
      const message =
        size === 0
          ? `no answer from ${call.url}`
          : `answer of ${call.url} incomplete after ${size} of ${expectedBytes} bytes`;
      const kind = size === 0 ? HttpErrorKind.timeout : HttpErrorKind.incomplete;
      finish(err(new HttpError(kind, message)));
    }
    function fail(error: unknown): void {
      const kind = isSent ? HttpErrorKind.broken : HttpErrorKind.notSent;
      finish(err(new HttpError(kind, `${call.url}: ${messageOf(error)}`, { cause: error })));
    }
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        isSent = true;
        return;
      }
      socket.once('connect', () => {
        isSent = true;
      });
    });
    outgoing.on('error', fail);
    outgoing.on('response', (response) => {
      expectedBytes = response.headers['content-length'] ?? expectedBytes;
      response.on('data', (chunk: Buffer) => {
        size += chunk.length;
        chunks.push(chunk);
        extendDeadline();
        if (size > maxResponseBytes) {
          finish(err(new HttpError(HttpErrorKind.tooLarge, `answer of ${call.url} is too large`)));
        }
      });
      response.on('aborted', () => fail(new Error('the answer was cut short')));
      response.on('error', fail);
      response.on('end', () => {
        const body = Buffer.concat(chunks).toString('utf8');
        finish(ok({ status: response.statusCode ?? 0, headers: response.headers, body }));
      });
    });
    outgoing.end(call.body);
  });
}
