import { LatencyHistogram } from '@apricothoist/common';

import type { EntryInstance } from './Deployment.js';

interface EndpointAnswer {
  readonly request: string;
  readonly echo: string;
}

const firstRefusalStatus = 400;

/** Sends requests through the instances in turn, as a balancer would, and checks every answer. */
export class RequestLoad {
  public sent = 0;

  public answered = 0;

  public refused = 0;

  /** Requests whose connection broke, or that found no listener, before an answer came. */
  public cut = 0;

  public wrongAnswers = 0;

  private isStopped = false;

  public readonly latency = new LatencyHistogram();

  /** @param targets instances that the balancer uses; may be replaced while it runs */
  public constructor(
    public targets: readonly EntryInstance[],
    private readonly service: string,
    private readonly account: string,
    private readonly name = 'load',
    private readonly hasKeys = false,
  ) {}

  public async run(count: number, concurrency: number): Promise<void> {
    const lanes = Array.from({ length: concurrency }, async () => {
      while (this.sent < count && !this.isStopped) {
        this.sent += 1;
        await this.sendOne(`${this.name}-${this.sent}`);
      }
    });
    await Promise.all(lanes);
  }

  /** Sends until `stop`; resolves when the last request has ended. */
  public runUntilStopped(concurrency: number): Promise<void> {
    return this.run(Infinity, concurrency);
  }

  public stop(): void {
    this.isStopped = true;
  }

  private async sendOne(request: string): Promise<void> {
    const target = this.targets[this.sent % this.targets.length];
    const startedAt = performance.now();
    try {
      const answer = await fetch(`${target?.callerUrl}/s/${this.service}/run`, {
        method: 'POST',
        headers: {
          'apricothoist-account': this.account,
          'x-request': request,
          ...(this.hasKeys ? { 'idempotency-key': request } : {}),
        },
        body: `body of ${request}`,
      });
      const text = await answer.text();
      this.latency.record(performance.now() - startedAt);
      if (answer.status >= firstRefusalStatus) {
        this.refused += 1;
        return;
      }
      this.check(request, JSON.parse(text) as EndpointAnswer);
    } catch {
      this.cut += 1;
    }
  }

  private check(request: string, answer: EndpointAnswer): void {
    const isOwn = answer.request === request && answer.echo === `body of ${request}`;
    this.answered += 1;
    this.wrongAnswers += isOwn ? 0 : 1;
  }
}
