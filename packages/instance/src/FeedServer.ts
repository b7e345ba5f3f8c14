import type { IncomingMessage, Server } from 'node:http';
import { createServer } from 'node:http';

import { pack } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';

import { followerCores } from './feedAddress.js';
import type { BoardUpdate, JobBoard } from './JobBoard.js';

/** Bytes waiting for a follower beyond which it is cut off; it connects again for a snapshot. */
const maxWaitingBytes = 4_000_000;

/** Tells followers what the scheduling instance knows of jobs. */
export class FeedServer implements AsyncDisposable {
  private readonly http: Server = createServer((_request, response) => {
    response.writeHead(426).end();
  });

  private readonly sockets = new WebSocketServer({ server: this.http, perMessageDeflate: false });

  private readonly coresBySocket = new Map<WebSocket, number>();

  private isOpen = false;

  public constructor(
    private readonly board: JobBoard,
    private readonly onError: (error: unknown) => void,
  ) {
    this.sockets.on('connection', (socket, request) => this.accept(socket, request));
    this.sockets.on('error', onError);
    this.http.on('error', onError);
  }

  public get followers(): number {
    return this.sockets.clients.size;
  }

  /** Cores of the strongest follower; 0: none. */
  public get strongestCores(): number {
    return Math.max(0, ...this.coresBySocket.values());
  }

  public listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.http.once('error', reject);
      this.http.listen(port, host, resolve);
    });
  }

  /** Accepts followers from now on, and sends them every update. */
  public open(): void {
    this.isOpen = true;
  }

  /** Cuts all followers off: this instance does not schedule any more. */
  public close(): void {
    this.isOpen = false;
    this.sockets.clients.forEach((socket) => socket.terminate());
  }

  public publish(update: BoardUpdate): void {
    if (this.sockets.clients.size === 0) {
      return;
    }
    const frame = pack(update);
    this.sockets.clients.forEach((socket) => {
      if (socket.bufferedAmount > maxWaitingBytes) {
        socket.terminate();
      } else if (socket.readyState === WebSocket.OPEN) {
        socket.send(frame);
      }
    });
  }

  private accept(socket: WebSocket, request: IncomingMessage): void {
    socket.on('error', this.onError);
    // A snapshot would make old knowledge look new to the follower.
    if (!this.isOpen || !this.board.isFresh) {
      socket.terminate();
      return;
    }
    this.coresBySocket.set(socket, followerCores(request.url));
    socket.on('close', () => this.coresBySocket.delete(socket));
    socket.send(pack(this.board.snapshot()));
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
