import type { Server } from 'node:http';

import type { Secret } from '@apricothoist/common';
import type { WebSocket } from 'ws';
import { WebSocketServer } from 'ws';

import type { RequestHandler } from './Mesh.js';
import type { MeshError } from './MeshError.js';
import type { Digest, Message } from './Message.js';
import { decodeMessage, encodeMessage, meshPath, MessageKind } from './Message.js';
import { malformedCloseCode, maxFrameBytes } from './PeerLink.js';

/** Callbacks for received messages and rejected links or frames. */
export interface MeshServerHandlers {
  readonly onDigest: (digest: Digest) => void;
  readonly onRejected: (reason: string) => void;
  readonly requestHandlers: ReadonlyMap<string, RequestHandler>;
}

const bearerPattern = /^Bearer (.+)$/;
const notFoundResponse = 'HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n';
const unauthorizedResponse = 'HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n';

/** Accepts links from peers as WebSocket upgrades of an HTTP server. */
export class MeshServer implements Disposable {
  private readonly webSocketServer = new WebSocketServer({
    noServer: true,
    maxPayload: maxFrameBytes,
    perMessageDeflate: false,
  });

  public bytesSent = 0;

  public bytesReceived = 0;

  public constructor(
    server: Server,
    private readonly token: Secret,
    private readonly handlers: MeshServerHandlers,
  ) {
    server.on('upgrade', (request, socket, head) => {
      // Without an 'error' listener, a connection reset by the peer would terminate the process.
      socket.on('error', () => socket.destroy());
      if (request.url !== meshPath) {
        handlers.onRejected(`unsupported mesh path "${request.url}"`);
        socket.end(notFoundResponse);
        return;
      }
      const [, candidate = ''] = bearerPattern.exec(request.headers.authorization ?? '') ?? [];
      if (!this.token.matches(candidate)) {
        handlers.onRejected(`wrong credential from ${request.socket.remoteAddress}`);
        socket.end(unauthorizedResponse);
        return;
      }
      this.webSocketServer.handleUpgrade(request, socket, head, (link) => this.serve(link));
    });
  }

  public [Symbol.dispose](): void {
    this.webSocketServer.clients.forEach((link) => link.terminate());
    this.webSocketServer.close();
  }

  private serve(link: WebSocket): void {
    link.on('error', (error) => this.handlers.onRejected(error.message));
    link.on('message', (data) => {
      const frame = data as Buffer;
      this.bytesReceived += frame.length;
      decodeMessage(frame).match(
        (message) => this.dispatch(link, message),
        (error) => this.reject(link, error),
      );
    });
  }

  private reject(link: WebSocket, error: MeshError): void {
    this.handlers.onRejected(error.message);
    link.close(malformedCloseCode, error.kind);
  }

  private dispatch(link: WebSocket, message: Message): void {
    if (message.kind === MessageKind.digest) {
      this.handlers.onDigest(message.digest);
    } else if (message.kind === MessageKind.request) {
      this.respond(link, message.requestId, message.topic, message.body).catch((error: unknown) => {
        this.handlers.onRejected(String(error));
        link.terminate();
      });
    }
  }

  private async respond(
    link: WebSocket,
    requestId: number,
    topic: string,
    body: unknown,
  ): Promise<void> {
    const handler = this.handlers.requestHandlers.get(topic);
    if (handler === undefined) {
      throw new RangeError(`no handler for topic "${topic}"`);
    }
    const response = await handler(body);
    let frame = encodeMessage({ kind: MessageKind.response, requestId, body: response });
    if (frame.length > maxFrameBytes) {
      const size = `${frame.length} of ${maxFrameBytes} bytes`;
      this.handlers.onRejected(`the response to "${topic}" exceeds the frame limit: ${size}`);
      // Without a body, so that the requester does not wait until its deadline.
      frame = encodeMessage({ kind: MessageKind.response, requestId, body: undefined });
    }
    this.bytesSent += frame.length;
    link.send(frame);
  }
}
