import type { IncomingHttpHeaders } from 'node:http';
import { request } from 'node:http';

import type { Clock } from '@apricothoist/common';
import { AgentPool } from '@apricothoist/platform';
import type { AttemptResult, Endpoint, RequestDescriptor } from '@apricothoist/router';
import { AttemptOutcome } from '@apricothoist/router';

import type {
  ResponseContent,
  HeaderValue,
  RequestContent,
  ServiceSender,
} from './CoreServices.js';
import type { ReceivedResponse } from './HttpExchange.js';
import { ExchangeOutcome, HttpExchange } from './HttpExchange.js';

/** Headers exchanged with endpoints and callers. */
export const OutcomeHeader = {
  /** `not-run` or `unknown` on responses that were not produced by the service. */
  outcome: 'apricothoist-outcome',
  /** Reason of a refusal; endpoints send `busy` or `leaving`. */
  reason: 'apricothoist-reason',
  /** Attempt identifier. If an endpoint returns it, a response to another attempt is detected. */
  attempt: 'apricothoist-attempt',
  retryAfterMs: 'apricothoist-retry-after-ms',
} as const;

const firstServerErrorStatus = 500;
const connectionHeaders = ['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te'];

const notRun = (reason?: string): AttemptResult<ResponseContent> => ({
  outcome: AttemptOutcome.notRun,
  isBusy: reason === 'busy',
  isLeaving: reason === 'leaving',
});
const unknown: AttemptResult<ResponseContent> = { outcome: AttemptOutcome.unknown };
const resultOfOutcome = {
  [ExchangeOutcome.notSent]: notRun(),
  [ExchangeOutcome.unknown]: unknown,
} as const;

/** Sends requests to endpoints over HTTP; a connection carries one request at a time. */
export class HttpEndpointSender implements ServiceSender {
  private readonly agentPool: AgentPool;

  private attemptCount = 0;

  /**
   * @param instanceId prefix of the attempt identifiers
   * @param maxConnections maximum number of pooled connections per endpoint
   * @param maxBodyBytes maximum size of a response body
   */
  public constructor(
    private readonly instanceId: string,
    private readonly clock: Clock,
    maxConnections: number,
    private readonly maxBodyBytes: number,
  ) {
    this.agentPool = new AgentPool(maxConnections);
  }

  public send(
    endpoint: Endpoint,
    descriptor: RequestDescriptor,
    content: RequestContent,
    deadline: number,
  ): Promise<AttemptResult<ResponseContent>> {
    this.attemptCount += 1;
    const attemptId = `${this.instanceId}.${this.attemptCount}`;
    const outgoing = request(`http://${endpoint.address}${content.path}`, {
      method: content.method,
      // If the endpoint closes a pooled connection during the send, it is unknown whether the request
      // ran. Only idempotent requests, which can be retried, use the pool.
      agent: descriptor.isIdempotent ? this.agentPool.agentFor(endpoint.address) : false,
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
      .then((result) =>
        result.kind === ExchangeOutcome.answered
          ? toAttemptResult(result.response, attemptId)
          : resultOfOutcome[result.kind],
      );
  }

  public [Symbol.dispose](): void {
    this.agentPool[Symbol.dispose]();
  }
}

/** Removes hop-by-hop headers, `host` and `content-length`. */
export function endToEndHeaders(headers: IncomingHttpHeaders): Record<string, HeaderValue> {
  const kept = Object.entries(headers).filter(
    ([name]) => !connectionHeaders.includes(name) && name !== 'content-length' && name !== 'host',
  );
  return Object.fromEntries(kept);
}

function toAttemptResult(
  received: ReceivedResponse,
  attemptId: string,
): AttemptResult<ResponseContent> {
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
