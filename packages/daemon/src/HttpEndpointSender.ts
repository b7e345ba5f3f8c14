import type { IncomingHttpHeaders } from 'node:http';
import { request } from 'node:http';

import type { Clock } from '@apricothoist/common';
import { AgentPool } from '@apricothoist/platform';
import type { AttemptResult, Endpoint, RequestDescriptor } from '@apricothoist/router';
import { AttemptOutcome } from '@apricothoist/router';

import type { AnswerContent, HeaderValue, RequestContent, ServiceSender } from './CoreServices.js';
import type { ReceivedAnswer } from './HttpExchange.js';
import { ExchangeEnd, HttpExchange } from './HttpExchange.js';

/** Headers between this product and endpoints or callers. */
export const OutcomeHeader = {
  /** `not-run` or `unknown` on answers that are not the service's own. */
  outcome: 'apricothoist-outcome',
  /** Why an endpoint refused: `busy` or `leaving`. */
  reason: 'apricothoist-reason',
  /** Identifies the attempt; an endpoint that returns it is protected against crossed answers. */
  attempt: 'apricothoist-attempt',
  retryAfterMs: 'apricothoist-retry-after-ms',
} as const;

const firstServerErrorStatus = 500;
const connectionHeaders = ['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te'];

const notRun = (reason?: string): AttemptResult<AnswerContent> => ({
  outcome: AttemptOutcome.notRun,
  isBusy: reason === 'busy',
  isLeaving: reason === 'leaving',
});
const unknown: AttemptResult<AnswerContent> = { outcome: AttemptOutcome.unknown };
const resultOfEnd = {
  [ExchangeEnd.notSent]: notRun(),
  [ExchangeEnd.unknown]: unknown,
} as const;

/** Sends requests to endpoints over HTTP, each on a connection that carries no other meanwhile. */
export class HttpEndpointSender implements ServiceSender {
  private readonly agents: AgentPool;

  private attempts = 0;

  /**
   * @param instanceId names this instance in attempt identifiers
   * @param maxConnections connections to one endpoint
   * @param maxBodyBytes largest answer that is passed on
   */
  public constructor(
    private readonly instanceId: string,
    private readonly clock: Clock,
    maxConnections: number,
    private readonly maxBodyBytes: number,
  ) {
    this.agents = new AgentPool(maxConnections);
  }

  public send(
    endpoint: Endpoint,
    ticket: RequestDescriptor,
    content: RequestContent,
    deadline: number,
  ): Promise<AttemptResult<AnswerContent>> {
    this.attempts += 1;
    const attemptId = `${this.instanceId}.${this.attempts}`;
    const outgoing = request(`http://${endpoint.address}${content.path}`, {
      method: content.method,
      // A pooled connection may be closing, which would leave it open whether the request ran.
      agent: ticket.isIdempotent ? this.agents.agentFor(endpoint.address) : false,
      headers: {
        ...content.headers,
        [OutcomeHeader.attempt]: attemptId,
        'content-length': content.body.length,
      },
    });
    const timeoutMs = deadline - this.clock.monotonic();
    const exchange = new HttpExchange(outgoing, timeoutMs, this.maxBodyBytes);
    return exchange
      .run(content.body)
      .then((ended) =>
        ended.kind === ExchangeEnd.answered
          ? judge(ended.answer, attemptId)
          : resultOfEnd[ended.kind],
      );
  }

  public [Symbol.dispose](): void {
    this.agents[Symbol.dispose]();
  }
}

/** Headers that concern the message and not one connection. */
export function endToEndHeaders(headers: IncomingHttpHeaders): Record<string, HeaderValue> {
  const kept = Object.entries(headers).filter(
    ([name]) => !connectionHeaders.includes(name) && name !== 'content-length' && name !== 'host',
  );
  return Object.fromEntries(kept);
}

function judge(received: ReceivedAnswer, attemptId: string): AttemptResult<AnswerContent> {
  const { status, headers, body } = received;
  const echoed = headers[OutcomeHeader.attempt];
  if (echoed !== undefined && echoed !== attemptId) {
    return unknown;
  }
  if (headers[OutcomeHeader.outcome] === 'not-run') {
    return notRun(String(headers[OutcomeHeader.reason]));
  }
  const kept = endToEndHeaders(headers);
  delete kept[OutcomeHeader.attempt];
  return {
    outcome: AttemptOutcome.answered,
    answer: { status, headers: kept, body },
    isFailure: status >= firstServerErrorStatus,
  };
}
