import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import type { Clock, Event, Secret } from '@apricothoist/common';
import { createIdentifier, Emitter } from '@apricothoist/common';
import { Urgency } from '@apricothoist/config';
import type { Refusal, RouteResult, RequestDescriptor } from '@apricothoist/router';
import { AttemptOutcome, RefusalReason } from '@apricothoist/router';

import type { AnswerContent } from './CoreServices.js';
import { endToEndHeaders, OutcomeHeader } from './HttpEndpointSender.js';
import { BodyFault, readBody } from './readBody.js';
import type { ServiceRouter, ServiceRouters } from './ServiceRouters.js';

/** Headers that callers set. */
export const CallerHeader = {
  /** Account, where callers need no token. */
  account: 'apricothoist-account',
  urgency: 'apricothoist-urgency',
  /** Milliseconds within which the caller wants the answer. */
  timeoutMs: 'apricothoist-timeout-ms',
  /** `true` or `false`; by default GET, HEAD, PUT, DELETE and OPTIONS are idempotent. */
  idempotent: 'apricothoist-idempotent',
  /** Names a request that is not idempotent, so that repeats of it run at most once. */
  key: 'idempotency-key',
} as const;

/** How one request ended, for metrics and logs. */
export interface RequestRecord {
  readonly service: string;
  readonly account: string;
  readonly urgency: Urgency;
  readonly outcome: AttemptOutcome;
  readonly reason?: RefusalReason;
  readonly durationMs: number;
}

const servicePath = /^\/s\/([a-z0-9-]+)(\/.*)?$/;
const idempotentMethods = ['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'];
const defaultTimeoutMs = 10_000;
const maxTimeoutMs = 10 * 60_000;
const maxKeyLength = 200;
const maxHeaderBytes = 65_536;
/** Headers that only concern the way to this instance. */
const ownHeaders = ['authorization', ...Object.values(CallerHeader)];

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

/** Takes callers' requests over HTTP: `/s/SERVICE/PATH`. */
export class CallerListener implements AsyncDisposable {
  public readonly server = createServer({ maxHeaderSize: maxHeaderBytes }, (request, response) => {
    this.serve(request, response).catch(() => response.destroy());
  });

  private readonly ended = new Emitter<RequestRecord>();

  public readonly onRequestEnd: Event<RequestRecord> = this.ended.event;

  private readonly rejected = new Emitter<string>();

  /** Fires when a credential was refused. */
  public readonly onRejected: Event<string> = this.rejected.event;

  private isLeaving = false;

  /** @param callers tokens by account; when empty the account header is trusted */
  public constructor(
    private readonly routers: ServiceRouters,
    private readonly callers: ReadonlyMap<string, Secret>,
    private readonly clock: Clock,
  ) {}

  /** Asks callers to use other connections from now on, while still serving them. */
  public announceLeaving(): void {
    this.isLeaving = true;
  }

  /** Closes the listener and resolves when all connections are done. */
  public async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
    this.ended[Symbol.dispose]();
    this.rejected[Symbol.dispose]();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.clock.monotonic();
    if (this.isLeaving) {
      response.setHeader('connection', 'close');
    }
    if (!this.routers.isConfigured) {
      request.resume();
      writeRefusal(response, refusalOf(RefusalReason.notReady));
      return;
    }
    const [, name = '', path = '/'] = servicePath.exec(request.url ?? '') ?? [];
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
      writeProblem(response, 431, `headers exceed ${service.section['max-header-bytes']} bytes`);
      return;
    }
    const ticket = this.createTicket(request, name, account, arrivedAt);
    if (typeof ticket === 'string') {
      writeProblem(response, 400, ticket);
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
      headers: withoutOwnHeaders(request),
      body: body.value,
    };
    const result = await service.router.route(ticket, content);
    this.answer(response, result, ticket);
  }

  private refuseBody(response: ServerResponse, fault: BodyFault, service: ServiceRouter): void {
    if (fault === BodyFault.aborted) {
      response.destroy();
      return;
    }
    response.setHeader('connection', 'close');
    writeProblem(response, 413, `body exceeds ${service.section['max-body-bytes']} bytes`);
  }

  private answer(
    response: ServerResponse,
    result: RouteResult<AnswerContent>,
    ticket: RequestDescriptor,
  ): void {
    const isAnswered = result.outcome === AttemptOutcome.answered;
    if (isAnswered) {
      const { status, headers, body } = result.answer;
      response.writeHead(status, { ...headers, 'content-length': body.length });
      response.end(body);
    } else {
      writeRefusal(response, result);
    }
    this.ended.fire({
      service: ticket.service,
      account: ticket.account,
      urgency: ticket.urgency,
      outcome: result.outcome,
      reason: isAnswered ? undefined : result.reason,
      durationMs: this.clock.monotonic() - ticket.arrivedAt,
    });
  }

  // Every token is compared, so the time does not tell which account came near.
  private accountOf(request: IncomingMessage): string | undefined {
    if (this.callers.size === 0) {
      return headerOf(request, CallerHeader.account);
    }
    const [, token = ''] = /^Bearer (.+)$/.exec(request.headers.authorization ?? '') ?? [];
    const matching = [...this.callers].filter(([, secret]) => secret.matches(token));
    if (matching.length === 0) {
      this.rejected.fire(request.socket.remoteAddress ?? '');
    }
    return matching[0]?.[0];
  }

  private createTicket(
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

function withoutOwnHeaders(request: IncomingMessage) {
  const kept = Object.entries(endToEndHeaders(request.headers)).filter(
    ([name]) => !ownHeaders.includes(name),
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

function writeProblem(response: ServerResponse, status: number, message: string): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    [OutcomeHeader.outcome]: 'not-run',
  });
  response.end(`${JSON.stringify({ outcome: 'not-run', message })}\n`);
}
