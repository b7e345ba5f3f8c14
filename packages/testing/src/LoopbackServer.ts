import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Answers one request; the body is already read. */
export type Responder = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => Promise<void>;

/** A stand-in's HTTP listener on loopback. */
export class LoopbackServer implements AsyncDisposable {
  private readonly server: Server;

  public constructor(responder: Responder) {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString('utf8');
        responder(request, response, body).catch(() => response.destroy());
      });
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Returns the port; 0 asks for any free one. */
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
