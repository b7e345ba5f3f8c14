import type { Server } from 'node:http';

import type { Secret } from '@apricothoist/common';
import type { WebSocket } from 'ws';
import { WebSocketServer } from 'ws';

import type { RequestHandler } from './Mesh.js';
import type { MeshError } from './MeshError.js';
import type { Digest, Message } from './Message.js';
import { decodeMessage, encodeMessage, meshPath, MessageKind } from './Message.js';
import { malformedCloseCode, maxFrameBytes } from './PeerLink.js';

/** What the server does with what it receives. */
export interface MeshServerHandlers {
  readonly onDigest: (digest: Digest) => void;
  readonly onRejected: (reason: string) => void;
  readonly topics: ReadonlyMap<string, RequestHandler>;
}

const bearer = /^Bearer (.+)$/;
const notFoundAnswer = 'HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n';
const unauthorizedAnswer = 'HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n';

/** Accepts links from peers on an HTTP server's upgrade. */
export class MeshServer implements Disposable {
  private readonly sockets = new WebSocketServer({
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
      // Without a listener, a peer that resets the connection would end the process.
      socket.on('error', () => socket.destroy());
      if (request.url !== meshPath) {
        handlers.onRejected(`unknown protocol "${request.url}"`);
        socket.end(notFoundAnswer);
        return;
      }
      const [, candidate = ''] = bearer.exec(request.headers.authorization ?? '') ?? [];
      if (!this.token.matches(candidate)) {
        handlers.onRejected(`wrong credential from ${request.socket.remoteAddress}`);
        socket.end(unauthorizedAnswer);
        return;
      }
      this.sockets.handleUpgrade(request, socket, head, (link) => this.serve(link));
    });
  }

  public [Symbol.dispose](): void {
    this.sockets.clients.forEach((link) => link.terminate());
    this.sockets.close();
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
      this.answer(link, message.requestId, message.topic, message.body).catch((error: unknown) => {
        this.handlers.onRejected(String(error));
        link.terminate();
      });
    }
  }

  private async answer(
    link: WebSocket,
    requestId: number,
    topic: string,
    body: unknown,
  ): Promise<void> {
    const handler = this.handlers.topics.get(topic);
    if (handler === undefined) {
      throw new RangeError(`no handler for topic "${topic}"`);
    }
    const answer = await handler(body);
    const frame = encodeMessage({ kind: MessageKind.response, requestId, body: answer });
    this.bytesSent += frame.length;
    link.send(frame);
  }
}
