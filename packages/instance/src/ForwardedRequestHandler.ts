import type { Clock } from '@apricothoist/common';
import type { EventLog } from '@apricothoist/telemetry';

import { JobEvents } from './events.js';
import { decodeForwardedRequest } from './feedMessages.js';
import type { FeedAnswer, FeedRequest, ForwardedRequest, ForwardedResult } from './FeedRequest.js';
import { feedRequestVersion, ForwardedOperation, maxLeftMs } from './FeedRequest.js';
import type { JobService } from './JobService.js';

/** Requests that the scheduling instance serves at once: several hundred followers' share. */
const maxOpenRequests = 512;
/** Milliseconds of a deadline that are reserved for the way of the answer. */
const answerTransitMs = 20;

type Handler<Operation extends ForwardedOperation> = (
  jobs: JobService,
  request: Extract<ForwardedRequest, { operation: Operation }>,
  deadline: number,
) => Promise<ForwardedResult>;

const handlers: { readonly [Operation in ForwardedOperation]: Handler<Operation> } = {
  [ForwardedOperation.submit]: async (jobs, { specification, queue }, deadline) => ({
    submit: await jobs.submit(specification, queue, deadline, { mayForward: false }),
  }),
  [ForwardedOperation.state]: async (jobs, { id }, deadline) => ({
    state: await jobs.stateOf(id, deadline, { mayForward: false }),
  }),
  [ForwardedOperation.cancel]: async (jobs, { id, client = '' }, deadline) => {
    const { lookup, retryAfterMs } = await jobs.cancel(id, client, deadline, { mayForward: false });
    return { cancel: lookup, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
  },
};

/** Serves the requests of other instances on the scheduling instance; never forwards them again. */
export class ForwardedRequestHandler {
  private openRequests = 0;

  /** Requests served and rejected since the process started. */
  public readonly counts = { served: 0, rejected: 0 };

  public constructor(
    private readonly jobs: JobService,
    private readonly clock: Clock,
    /** Why nothing can be done for a request now; undefined if it can. */
    private readonly findObstacle: () => string | undefined,
    private readonly log: EventLog,
  ) {}

  public async handle({ requestVersion, request, leftMs, body }: FeedRequest): Promise<FeedAnswer> {
    const deadline = this.clock.monotonic() + Math.min(leftMs, maxLeftMs) - answerTransitMs;
    const isKnown =
      requestVersion <= feedRequestVersion && Object.hasOwn(handlers, operationOf(body));
    const decoded = decodeForwardedRequest(body);
    const fault = decoded.isErr() ? decoded.error.message : undefined;
    const rejection = isKnown ? (fault ?? this.findRejection()) : 'unknown operation or version';
    if (rejection !== undefined || decoded.isErr()) {
      this.counts.rejected += 1;
      return { answerTo: request, rejection: rejection ?? 'unreadable' };
    }
    return { answerTo: request, result: await this.serve(decoded.value, deadline) };
  }

  private async serve(body: ForwardedRequest, deadline: number): Promise<ForwardedResult> {
    this.counts.served += 1;
    this.openRequests += 1;
    try {
      const handler = handlers[body.operation] as Handler<ForwardedOperation>;
      const result = await handler(this.jobs, body, deadline);
      this.log.emit(JobEvents.forwardedRequestServed, {
        operation: body.operation,
        job: 'id' in body ? body.id : body.specification.id,
        ...describe(result),
      });
      return result;
    } finally {
      this.openRequests -= 1;
    }
  }

  private findRejection(): string | undefined {
    return this.openRequests >= maxOpenRequests
      ? 'the scheduling instance serves too many requests'
      : this.findObstacle();
  }
}

function describe(result: ForwardedResult): { outcome: string; reason?: string } {
  if ('submit' in result) {
    return { outcome: result.submit.outcome, reason: result.submit.reason };
  }
  return 'state' in result
    ? { outcome: result.state.lookup, reason: result.state.source }
    : { outcome: result.cancel };
}

function operationOf(body: Partial<ForwardedRequest> | null): string {
  return String(body?.operation);
}
