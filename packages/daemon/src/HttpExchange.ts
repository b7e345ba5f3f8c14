import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';

/** Outcome of an exchange with an endpoint. */
export const ExchangeOutcome = {
  answered: 'answered',
  /** No connection was established, so nothing was sent. */
  notSent: 'notSent',
  /** The request may have been sent, but no complete response was received. */
  unknown: 'unknown',
} as const;
export type ExchangeOutcome = (typeof ExchangeOutcome)[keyof typeof ExchangeOutcome];

/** A complete response. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array;
}

export type ExchangeResult =
  | { readonly kind: typeof ExchangeOutcome.answered; readonly response: ReceivedResponse }
  | { readonly kind: typeof ExchangeOutcome.notSent }
  | { readonly kind: typeof ExchangeOutcome.unknown };

const connectTimeoutMs = 1_000;

/** One request and its response. The connection is destroyed if the response is not complete in time. */
export class HttpExchange {
  private isConnected = false;

  private settle: ((result: ExchangeResult) => void) | undefined;

  private timers: NodeJS.Timeout[] = [];

  /** @param timeoutMs milliseconds until the response must be complete */
  public constructor(
    private readonly outgoing: ClientRequest,
    private readonly timeoutMs: number,
    private readonly maxBodyBytes: number,
  ) {}

  /** Sends the body and waits for the outcome. */
  public run(body: Uint8Array): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      this.settle = resolve;
      this.timers = [
        setTimeout(() => this.fail(), Math.max(0, this.timeoutMs)),
        setTimeout(() => this.failUnlessConnected(), connectTimeoutMs),
      ];
      this.watchConnection();
      this.outgoing.on('error', () => this.fail());
      this.outgoing.on('response', (response) => this.receive(response));
      this.outgoing.end(body);
    });
  }

  private watchConnection(): void {
    this.outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        this.isConnected = true;
        return;
      }
      socket.once('connect', () => {
        this.isConnected = true;
      });
    });
  }

  private receive(response: IncomingMessage): void {
    const chunks: Buffer[] = [];
    let size = 0;
    response.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > this.maxBodyBytes) {
        this.fail();
      }
    });
    response.on('aborted', () => this.fail());
    response.on('error', () => this.fail());
    response.on('end', () => {
      if (!response.complete) {
        this.fail();
        return;
      }
      const { statusCode = 0, headers } = response;
      const received = { status: statusCode, headers, body: Buffer.concat(chunks) };
      this.finish({ kind: ExchangeOutcome.answered, response: received });
    });
  }

  private failUnlessConnected(): void {
    if (!this.isConnected) {
      this.fail();
    }
  }

  private fail(): void {
    // Destroying the connection discards a late response.
    this.outgoing.destroy();
    this.finish({ kind: this.isConnected ? ExchangeOutcome.unknown : ExchangeOutcome.notSent });
  }

  private finish(result: ExchangeResult): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.settle?.(result);
    this.settle = undefined;
  }
}
