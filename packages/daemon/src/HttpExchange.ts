import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';

/** How an exchange with an endpoint ended. */
export const ExchangeEnd = {
  answered: 'answered',
  /** No connection was made, so nothing was sent. */
  notSent: 'notSent',
  /** Something may have been sent, and no whole answer came. */
  unknown: 'unknown',
} as const;
export type ExchangeEnd = (typeof ExchangeEnd)[keyof typeof ExchangeEnd];

/** A whole answer as it came. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array;
}

export type ExchangeResult =
  | { readonly kind: typeof ExchangeEnd.answered; readonly answer: ReceivedAnswer }
  | { readonly kind: typeof ExchangeEnd.notSent }
  | { readonly kind: typeof ExchangeEnd.unknown };

const connectTimeoutMs = 1_000;

/** One request and its answer. Without a whole answer in time the connection is destroyed. */
export class HttpExchange {
  private isConnected = false;

  private settle: ((result: ExchangeResult) => void) | undefined;

  private timers: NodeJS.Timeout[] = [];

  /** @param timeoutMs milliseconds until the answer must be whole */
  public constructor(
    private readonly outgoing: ClientRequest,
    private readonly timeoutMs: number,
    private readonly maxBodyBytes: number,
  ) {}

  /** Sends the body and waits for the end. */
  public run(body: Uint8Array): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      this.settle = resolve;
      this.timers = [
        setTimeout(() => this.fail(), Math.max(0, this.timeoutMs)),
        setTimeout(() => this.failUnlessConnected(), connectTimeoutMs),
      ];
      this.watchConnection();
      this.outgoing.on('error', () => this.fail());
      this.outgoing.on('response', (answer) => this.receive(answer));
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

  private receive(answer: IncomingMessage): void {
    const chunks: Buffer[] = [];
    let size = 0;
    answer.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > this.maxBodyBytes) {
        this.fail();
      }
    });
    answer.on('aborted', () => this.fail());
    answer.on('error', () => this.fail());
    answer.on('end', () => {
      if (!answer.complete) {
        this.fail();
        return;
      }
      const { statusCode = 0, headers } = answer;
      const received = { status: statusCode, headers, body: Buffer.concat(chunks) };
      this.finish({ kind: ExchangeEnd.answered, answer: received });
    });
  }

  private failUnlessConnected(): void {
    if (!this.isConnected) {
      this.fail();
    }
  }

  private fail(): void {
    // A late answer finds no connection.
    this.outgoing.destroy();
    this.finish({ kind: this.isConnected ? ExchangeEnd.unknown : ExchangeEnd.notSent });
  }

  private finish(result: ExchangeResult): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.settle?.(result);
    this.settle = undefined;
  }
}
