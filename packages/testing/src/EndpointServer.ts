import { setTimeout as delay } from 'node:timers/promises';

import { LoopbackServer, sendJson } from './LoopbackServer.js';

/** Behaviour of an endpoint; changes at any time, also by a JSON body sent to `/control`. */
export interface EndpointBehaviour {
  /** Time to process a request, in milliseconds. */
  serviceMs: number;
  /** Rejects every request because the endpoint shuts down. */
  isLeaving: boolean;
  /** Accepts requests and never responds. */
  isSilent: boolean;
  /** Responds to every request with status 500, without delay. */
  isFailing: boolean;
  /** Closes the connection in the middle of the response. */
  isTruncating: boolean;
}

/** Fake endpoint with a limited number of slots that counts how often it ran each request. */
export class EndpointServer implements AsyncDisposable {
  public readonly behaviour: EndpointBehaviour;

  /** How often each request ran, by the value of the caller's `x-request` header. */
  public readonly runs = new Map<string, number>();

  private activeRequests = 0;

  private readonly server = new LoopbackServer(async (request, response, body) => {
    if (request.url === '/control') {
      Object.assign(this.behaviour, JSON.parse(body));
      sendJson(response, 200, { runs: Object.fromEntries(this.runs) });
      return;
    }
    const attempt = request.headers['apricothoist-attempt'];
    if (attempt !== undefined) {
      response.setHeader('apricothoist-attempt', attempt);
    }
    if (this.behaviour.isLeaving || this.activeRequests >= this.slots) {
      response.setHeader('apricothoist-outcome', 'not-run');
      response.setHeader('apricothoist-reason', this.behaviour.isLeaving ? 'leaving' : 'busy');
      sendJson(response, 503, {});
      return;
    }
    const requestId = String(request.headers['x-request']);
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    if (this.behaviour.isSilent) {
      return;
    }
    if (this.behaviour.isFailing) {
      sendJson(response, 500, { error: 'endpoint fails' });
      return;
    }
    this.activeRequests += 1;
    await delay(this.behaviour.serviceMs);
    this.activeRequests -= 1;
    if (this.behaviour.isTruncating) {
      response.writeHead(200, { 'content-length': 1_000 });
      response.write('{"request":');
      setTimeout(() => response.destroy(), 5);
      return;
    }
    sendJson(response, 200, { request: requestId, endpoint: this.id, echo: body });
  });

  public constructor(
    public readonly id: string,
    private readonly slots: number,
    serviceMs: number,
  ) {
    this.behaviour = {
      serviceMs,
      isLeaving: false,
      isSilent: false,
      isFailing: false,
      isTruncating: false,
    };
  }

  public listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this.server[Symbol.asyncDispose]();
  }
}
