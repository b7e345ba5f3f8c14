import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import type { Clock, Event, Secret } from '@apricothoist/common';
import { createIdentifier, Emitter } from '@apricothoist/common';
import { Urgency } from '@apricothoist/config';
import type { Refusal, RouteResult, RequestDescriptor } from '@apricothoist/router';
import { AttemptOutcome, RefusalReason } from '@apricothoist/router';

import type { ResponseContent } from './CoreServices.js';
import { endToEndHeaders, OutcomeHeader } from './HttpEndpointSender.js';
import { BodyError, readBody } from './readBody.js';
import type { ServiceRouter, ServiceRouters } from './ServiceRouters.js';

/** Request headers set by callers. */
export const CallerHeader = {
  /** Account; used only if no caller tokens are configured. */
  account: 'apricothoist-account',
  urgency: 'apricothoist-urgency',
  /** Request time-out in milliseconds. */
  timeoutMs: 'apricothoist-timeout-ms',
  /** `true` or `false`; by default GET, HEAD, PUT, DELETE and OPTIONS are idempotent. */
  idempotent: 'apricothoist-idempotent',
  /** Idempotency key of a request that is not idempotent; requests with the same key run at most once. */
  key: 'idempotency-key',
} as const;

/** Outcome of one request, for metrics and logs. */
export interface RequestRecord {
  readonly service: string;
  readonly account: string;
  readonly urgency: Urgency;
  readonly outcome: AttemptOutcome;
  readonly reason?: RefusalReason;
  readonly durationMs: number;
}

const servicePathPattern = /^\/s\/([a-z0-9-]+)(\/.*)?$/;
const idempotentMethods = ['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'];
const defaultTimeoutMs = 10_000;
const maxTimeoutMs = 10 * 60_000;
const maxKeyLength = 200;
const maxHeaderBytes = 65_536;
/** Headers addressed to this instance, which are not forwarded to endpoints. */
const strippedHeaders = ['authorization', ...Object.values(CallerHeader)];

const statusOfReason: Record<RefusalReason, number> = {
  unknownAccount: 401,
  unknownService: 404,
  notReady: 503,
  accountLimit: 429,
  overloaded: 503,
  noEndpoint: 503,
  deadline: 504,
  stopping: 503,
  alreadyClaimed: 409,
  claimsUnavailable: 503,
  failed: 502,
};

/** HTTP listener for callers' requests to `/s/SERVICE/PATH`. */
export class CallerListener implements AsyncDisposable {
  public readonly server = createServer({ maxHeaderSize: maxHeaderBytes }, (request, response) => {
    this.serve(request, response).catch(() => response.destroy());
  });

  private readonly requestEnded = new Emitter<RequestRecord>();

  public readonly onRequestEnd: Event<RequestRecord> = this.requestEnded.event;

  private readonly rejected = new Emitter<string>();

  /** Fires with the remote address when a credential is rejected. */
  public readonly onRejected: Event<string> = this.rejected.event;

  private isDraining = false;

  /** @param tokensByAccount caller tokens; if empty, the account header is trusted */
  public constructor(
    private readonly routers: ServiceRouters,
    private readonly tokensByAccount: ReadonlyMap<string, Secret>,
    private readonly clock: Clock,
  ) {}

  /** Closes connections after their current response, so that callers reconnect elsewhere. */
  public startDraining(): void {
    this.isDraining = true;
  }

  /** Closes the listener and resolves when all connections are closed. */
  public async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
    this.requestEnded[Symbol.dispose]();
    this.rejected[Symbol.dispose]();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.clock.monotonic();
    if (this.isDraining) {
      response.setHeader('connection', 'close');
    }
    if (!this.routers.isConfigured) {
      request.resume();
      writeRefusal(response, refusalOf(RefusalReason.notReady));
      return;
    }
    const [, name = '', path = '/'] = servicePathPattern.exec(request.url ?? '') ?? [];
    const service = this.routers.get(name);
    const account = this.accountOf(request);
    if (account === undefined || service === undefined) {
      const isUnknownAccount = account === undefined;
      const reason = isUnknownAccount ? RefusalReason.unknownAccount : RefusalReason.unknownService;
      request.resume();
      writeRefusal(response, refusalOf(reason));
      return;
    }
    const headerBytes = request.rawHeaders.reduce((sum, item) => sum + item.length + 2, 0);
    if (headerBytes > service.section['max-header-bytes']) {
      writeClientError(
        response,
        431,
        `headers exceed ${service.section['max-header-bytes']} bytes`,
      );
      return;
    }
    const descriptor = this.createDescriptor(request, name, account, arrivedAt);
    if (typeof descriptor === 'string') {
      writeClientError(response, 400, descriptor);
      return;
    }
    const body = await readBody(request, service.section['max-body-bytes']);
    if (body.isErr()) {
      this.refuseBody(response, body.error, service);
      return;
    }
    const content = {
      method: request.method ?? 'GET',
      path,
      headers: forwardedHeadersOf(request),
      body: body.value,
    };
    const result = await service.router.route(descriptor, content);
    this.writeResult(response, result, descriptor);
  }

  private refuseBody(response: ServerResponse, error: BodyError, service: ServiceRouter): void {
    if (error === BodyError.aborted) {
      response.destroy();
      return;
    }
    response.setHeader('connection', 'close');
    writeClientError(response, 413, `body exceeds ${service.section['max-body-bytes']} bytes`);
  }

  private writeResult(
    response: ServerResponse,
    result: RouteResult<ResponseContent>,
    descriptor: RequestDescriptor,
  ): void {
    const isAnswered = result.outcome === AttemptOutcome.answered;
    if (isAnswered) {
      const { status, headers, body } = result.answer;
      response.writeHead(status, { ...headers, 'content-length': body.length });
      response.end(body);
    } else {
      writeRefusal(response, result);
    }
    this.requestEnded.fire({
      service: descriptor.service,
      account: descriptor.account,
      urgency: descriptor.urgency,
      outcome: result.outcome,
      reason: isAnswered ? undefined : result.reason,
      durationMs: this.clock.monotonic() - descriptor.arrivedAt,
    });
  }

  // Compares every token, so that the response time does not reveal which account nearly matched.
  private accountOf(request: IncomingMessage): string | undefined {
    if (this.tokensByAccount.size === 0) {
      return headerOf(request, CallerHeader.account);
    }
    const [, token = ''] = /^Bearer (.+)$/.exec(request.headers.authorization ?? '') ?? [];
    const matching = [...this.tokensByAccount].filter(([, secret]) => secret.matches(token));
    if (matching.length === 0) {
      this.rejected.fire(request.socket.remoteAddress ?? '');
    }
    return matching[0]?.[0];
  }

  private createDescriptor(
    request: IncomingMessage,
    service: string,
    account: string,
    arrivedAt: number,
  ): RequestDescriptor | string {
    const urgency = headerOf(request, CallerHeader.urgency) ?? Urgency.normal;
    const timeoutMs = Number(headerOf(request, CallerHeader.timeoutMs) ?? defaultTimeoutMs);
    const key = headerOf(request, CallerHeader.key);
    const declared = headerOf(request, CallerHeader.idempotent);
    if (!isUrgency(urgency)) {
      return `header "${CallerHeader.urgency}": expected ${Object.values(Urgency).join(', ')}`;
    }
    if (!Number.isInteger(timeoutMs) || timeoutMs <= 0 || timeoutMs > maxTimeoutMs) {
      return `header "${CallerHeader.timeoutMs}": expected 1 to ${maxTimeoutMs}`;
    }
    if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
      return `header "${CallerHeader.key}": expected 1 to ${maxKeyLength} characters`;
    }
    if (declared !== undefined && declared !== 'true' && declared !== 'false') {
      return `header "${CallerHeader.idempotent}": expected true or false`;
    }
    const isIdempotent =
      declared === undefined
        ? idempotentMethods.includes(request.method ?? '')
        : declared === 'true';
    return {
      id: createIdentifier(),
      account,
      service,
      urgency,
      isIdempotent,
      key,
      arrivedAt,
      deadline: arrivedAt + timeoutMs,
      isForwarded: false,
    };
  }
}

function isUrgency(value: string): value is Urgency {
  return Object.values(Urgency).some((urgency) => urgency === value);
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function forwardedHeadersOf(request: IncomingMessage) {
  const kept = Object.entries(endToEndHeaders(request.headers)).filter(
    ([name]) => !strippedHeaders.includes(name),
  );
  return Object.fromEntries(kept);
}

function refusalOf(reason: RefusalReason): Refusal {
  return { outcome: AttemptOutcome.notRun, reason, retryAfterMs: 1_000 };
}

function writeRefusal(response: ServerResponse, refusal: Refusal): void {
  const outcome = refusal.outcome === AttemptOutcome.notRun ? 'not-run' : 'unknown';
  const retryAfterMs = Math.ceil(refusal.retryAfterMs);
  response.writeHead(statusOfReason[refusal.reason], {
    'content-type': 'application/json',
    'retry-after': String(Math.ceil(retryAfterMs / 1_000)),
    [OutcomeHeader.outcome]: outcome,
    [OutcomeHeader.reason]: refusal.reason,
    [OutcomeHeader.retryAfterMs]: retryAfterMs,
  });
  response.end(`${JSON.stringify({ outcome, reason: refusal.reason, retryAfterMs })}\n`);
}

function writeClientError(response: ServerResponse, status: number, message: string): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    [OutcomeHeader.outcome]: 'not-run',
  });
  response.end(`${JSON.stringify({ outcome: 'not-run', message })}\n`);
}
