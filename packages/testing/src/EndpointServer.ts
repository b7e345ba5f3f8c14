import { setTimeout as delay } from 'node:timers/promises';

import { LoopbackServer, sendJson } from './LoopbackServer.js';

/** How an endpoint behaves; set at any time. */
export interface EndpointBehaviour {
  serviceMs: number;
  isLeaving: boolean;
  /** Answers nothing on any connection. */
  isSilent: boolean;
  /** Answers every request with status 500, at once. */
  isFailing: boolean;
  /** Breaks connections in the middle of the answer. */
  isTruncating: boolean;
}

/** An endpoint with a bounded number of slots, which counts what it has run. */
export class EndpointServer implements AsyncDisposable {
  public readonly behaviour: EndpointBehaviour;

  /** Times each request ran, by the caller's `x-request` header. */
  public readonly runs = new Map<string, number>();

  private busy = 0;

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
    if (this.behaviour.isLeaving || this.busy >= this.slots) {
      response.setHeader('apricothoist-outcome', 'not-run');
      response.setHeader('apricothoist-reason', this.behaviour.isLeaving ? 'leaving' : 'busy');
      sendJson(response, 503, {});
      return;
    }
    const name = String(request.headers['x-request']);
    this.runs.set(name, (this.runs.get(name) ?? 0) + 1);
    if (this.behaviour.isSilent) {
      return;
    }
    if (this.behaviour.isFailing) {
      sendJson(response, 500, { error: 'endpoint fails' });
      return;
    }
    this.busy += 1;
    await delay(this.behaviour.serviceMs);
    this.busy -= 1;
    if (this.behaviour.isTruncating) {
      response.writeHead(200, { 'content-length': 1_000 });
      response.write('{"request":');
      setTimeout(() => response.destroy(), 5);
      return;
    }
    sendJson(response, 200, { request: name, endpoint: this.id, echo: body });
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
