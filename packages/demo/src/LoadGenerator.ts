import { LatencyHistogram } from '@apricothoist/common';

import type { EntryInstance } from './Deployment.js';

interface EndpointResponse {
  readonly request: string;
  readonly echo: string;
}

const firstErrorStatus = 400;

/**
 * Sends requests to the instances in round-robin order, as a load balancer would, and checks every
 * response.
 */
export class LoadGenerator {
  public sent = 0;

  public answered = 0;

  public refused = 0;

  /** Requests whose connection was refused, or broke before the response was complete. */
  public connectionFailures = 0;

  public mismatchedResponses = 0;

  private isStopped = false;

  public readonly latency = new LatencyHistogram();

  /** @param targets instances that receive requests; may be replaced during a run */
  public constructor(
    public targets: readonly EntryInstance[],
    private readonly service: string,
    private readonly account: string,
    private readonly name = 'load',
    private readonly sendsIdempotencyKeys = false,
  ) {}

  public async run(count: number, concurrency: number): Promise<void> {
    const senders = Array.from({ length: concurrency }, async () => {
      while (this.sent < count && !this.isStopped) {
        this.sent += 1;
        await this.sendRequest(`${this.name}-${this.sent}`);
      }
    });
    await Promise.all(senders);
  }

  /** Sends requests until `stop` is called; resolves when the last one has ended. */
  public runUntilStopped(concurrency: number): Promise<void> {
    return this.run(Infinity, concurrency);
  }

  public stop(): void {
    this.isStopped = true;
  }

  private async sendRequest(request: string): Promise<void> {
    const target = this.targets[this.sent % this.targets.length];
    const startedAt = performance.now();
    try {
      const response = await fetch(`${target?.callerUrl}/s/${this.service}/run`, {
        method: 'POST',
        headers: {
          'apricothoist-account': this.account,
          'x-request': request,
          ...(this.sendsIdempotencyKeys ? { 'idempotency-key': request } : {}),
        },
        body: `body of ${request}`,
      });
      const text = await response.text();
      this.latency.record(performance.now() - startedAt);
      if (response.status >= firstErrorStatus) {
        this.refused += 1;
        return;
      }
      this.checkResponse(request, JSON.parse(text) as EndpointResponse);
    } catch {
      this.connectionFailures += 1;
    }
  }

  private checkResponse(request: string, response: EndpointResponse): void {
    const isMatching = response.request === request && response.echo === `body of ${request}`;
    this.answered += 1;
    this.mismatchedResponses += isMatching ? 0 : 1;
  }
}
