import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Handles one request whose body has been read already. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => Promise<void>;

/** HTTP server on the loopback address, base of the fake servers. */
export class LoopbackServer implements AsyncDisposable {
  private readonly server: Server;

  public constructor(handler: RequestHandler) {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString('utf8');
        handler(request, response, body).catch(() => response.destroy());
      });
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Listens on a port, 0 for any free one, and returns its number. */
  public listen(port = 0): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
