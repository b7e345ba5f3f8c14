import type { IncomingMessage, Server } from 'node:http';
import { createServer } from 'node:http';

import { pack } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';

import { followerCores } from './feedAddress.js';
import type { FeedAnswer, FeedRequest } from './FeedRequest.js';
import { maxRequestBytes, parseFeedRequest } from './FeedRequest.js';
import type { FeedUpdate, HolderService, JobStatusCache } from './JobStatusCache.js';

/** Buffered bytes beyond which a slow follower is disconnected; it reconnects for a snapshot. */
const maxBufferedBytes = 4_000_000;

/** Publishes the job states and queue status of the scheduling instance to followers. */
export class FeedServer implements AsyncDisposable {
  private readonly http: Server = createServer((_request, response) => {
    response.writeHead(426).end();
  });

  private readonly sockets = new WebSocketServer({
    server: this.http,
    perMessageDeflate: false,
    maxPayload: maxRequestBytes,
  });

  private readonly coresBySocket = new Map<WebSocket, number>();

  private isOpen = false;

  public constructor(
    private readonly statusCache: JobStatusCache,
    /** Serves a request of a follower. */
    private readonly serve: (request: FeedRequest) => Promise<FeedAnswer>,
    private readonly describeService: () => HolderService,
    private readonly onError: (error: unknown) => void,
  ) {
    this.sockets.on('connection', (socket, request) => this.accept(socket, request));
    this.sockets.on('error', onError);
    this.http.on('error', onError);
  }

  public get followers(): number {
    return this.sockets.clients.size;
  }

  /** Cores of the strongest follower; 0 without followers. */
  public get strongestCores(): number {
    return Math.max(0, ...this.coresBySocket.values());
  }

  public listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.http.once('error', reject);
      this.http.listen(port, host, resolve);
    });
  }

  /** Starts accepting followers. */
  public open(): void {
    this.isOpen = true;
  }

  /** Disconnects all followers when this instance stops scheduling. */
  public close(): void {
    this.isOpen = false;
    this.sockets.clients.forEach((socket) => socket.terminate());
  }

  public publish(update: FeedUpdate): void {
    if (this.sockets.clients.size === 0) {
      return;
    }
    const frame = pack(update);
    this.sockets.clients.forEach((socket) => {
      if (socket.bufferedAmount > maxBufferedBytes) {
        socket.terminate();
      } else if (socket.readyState === WebSocket.OPEN) {
        socket.send(frame);
      }
    });
  }

  /** Tells all followers that the lease is in doubt; the next update takes that back. */
  public publishDoubt(): void {
    const nothing = { isWhole: false, states: [], forgotten: [], queues: [], strongestCores: 0 };
    this.publish({ ...nothing, isInDoubt: true });
  }

  private accept(socket: WebSocket, request: IncomingMessage): void {
    socket.on('error', this.onError);
    // A snapshot of a stale cache would count as recent at the follower.
    if (!this.isOpen || !this.statusCache.isFresh) {
      socket.terminate();
      return;
    }
    this.coresBySocket.set(socket, followerCores(request.url));
    socket.on('close', () => this.coresBySocket.delete(socket));
    socket.on('message', (data: Buffer) => this.receive(socket, data).catch(this.onError));
    const snapshot = { ...this.statusCache.snapshot(), service: this.describeService() };
    socket.send(pack(snapshot));
  }

  private async receive(socket: WebSocket, data: Buffer): Promise<void> {
    const request = parseFeedRequest(data);
    if (request === undefined) {
      return;
    }
    const answer = await this.serve(request);
    if (socket.readyState === WebSocket.OPEN) {
      socket.send(pack(answer));
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.close();
    this.sockets.close();
    await new Promise<void>((resolve) => {
      this.http.close(() => resolve());
      this.http.closeAllConnections();
    });
  }
}
