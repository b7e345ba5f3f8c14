import type { Clock, Secret } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { WebSocket } from 'ws';

import { MeshError, MeshErrorKind } from './MeshError.js';
import type { Message } from './Message.js';
import { decodeMessage, encodeMessage, meshPath, MessageKind } from './Message.js';

/** Maximum frame size in bytes; a larger frame would close the link, so it is not sent. */
export const maxFrameBytes = 2_000_000;
/** WebSocket close code for frames that are not valid messages. */
export const malformedCloseCode = 4_400;

const connectTimeoutMs = 1_500;
const pingIntervalMs = 1_500;
/** Time in milliseconds without received data after which the connection is replaced. */
const unresponsiveTimeoutMs = 4_000;
const initialReconnectDelayMs = 200;
const maxReconnectDelayMs = 5_000;
/** Send buffer size in bytes above which messages are dropped, since the peer is not reading. */
const maxBufferedBytes = 1_000_000;

interface PendingRequest {
  readonly settle: (result: Result<unknown, MeshError>) => void;
  readonly timer: NodeJS.Timeout;
}

/** Address and credential for a link. */
export interface LinkTarget {
  /** `host:port` of the peer's mesh listener. */
  readonly address: string;
  readonly token: Secret;
}

/**
 * Outgoing connection to one peer, for digests and requests. Reconnects with exponential back-off
 * when the connection closes, and replaces a connection that has become unresponsive.
 */
export class PeerLink implements Disposable {
  private socket: WebSocket | undefined;

  private lastReceivedAt = 0;

  private reconnectDelayMs = initialReconnectDelayMs;

  private reconnectTimer: NodeJS.Timeout | undefined;

  private readonly pingTimer: NodeJS.Timeout;

  private readonly pending = new Map<number, PendingRequest>();

  private nextRequestId = 1;

  private isDisposed = false;

  public bytesSent = 0;

  public bytesReceived = 0;

  public constructor(
    private readonly target: LinkTarget,
    private readonly clock: Clock,
    private readonly onOpen: () => void,
  ) {
    this.pingTimer = setInterval(() => this.checkConnection(), pingIntervalMs);
    this.connect();
  }

  public get isOpen(): boolean {
    return this.socket?.readyState === WebSocket.OPEN;
  }

  /** Sends a message without awaiting a response. Returns whether it was passed to the socket. */
  public send(message: Message): boolean {
    const { socket } = this;
    if (socket?.readyState !== WebSocket.OPEN || socket.bufferedAmount > maxBufferedBytes) {
      return false;
    }
    const frame = encodeMessage(message);
    if (frame.length > maxFrameBytes) {
      return false;
    }
    this.bytesSent += frame.length;
    socket.send(frame);
    return true;
  }

  /** @param deadline monotonic milliseconds */
  public request(
    topic: string,
    body: unknown,
    deadline: number,
  ): Promise<Result<unknown, MeshError>> {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return new Promise((resolve) => {
      const timeoutMs = Math.max(0, deadline - this.clock.monotonic());
      const timer = setTimeout(() => this.settle(requestId, unanswered()), timeoutMs);
      this.pending.set(requestId, { settle: resolve, timer });
      if (!this.send({ kind: MessageKind.request, requestId, topic, body })) {
        const message = `no open link to ${this.target.address}, or too large for a frame`;
        this.settle(requestId, err(new MeshError(MeshErrorKind.notSent, message)));
      }
    });
  }

  public [Symbol.dispose](): void {
    this.isDisposed = true;
    clearTimeout(this.reconnectTimer);
    clearInterval(this.pingTimer);
    this.failPending();
    this.socket?.terminate();
  }

  private connect(): void {
    const socket = new WebSocket(`ws://${this.target.address}${meshPath}`, {
      headers: { authorization: `Bearer ${this.target.token.reveal()}` },
      handshakeTimeout: connectTimeoutMs,
      maxPayload: maxFrameBytes,
      perMessageDeflate: false,
    });
    this.socket = socket;
    this.lastReceivedAt = this.clock.monotonic();
    socket.on('open', () => {
      this.reconnectDelayMs = initialReconnectDelayMs;
      this.lastReceivedAt = this.clock.monotonic();
      this.onOpen();
    });
    socket.on('pong', () => {
      this.lastReceivedAt = this.clock.monotonic();
    });
    socket.on('message', (data) => this.receive(socket, data as Buffer));
    socket.on('error', () => {});
    socket.on('close', () => this.handleClose(socket));
  }

  private receive(socket: WebSocket, data: Buffer): void {
    this.lastReceivedAt = this.clock.monotonic();
    this.bytesReceived += data.length;
    const message = decodeMessage(data);
    if (message.isErr()) {
      socket.close(malformedCloseCode, message.error.kind);
      return;
    }
    if (message.value.kind === MessageKind.response) {
      this.settle(message.value.requestId, ok(message.value.body));
    }
  }

  private handleClose(socket: WebSocket): void {
    if (socket !== this.socket) {
      return;
    }
    this.failPending();
    if (!this.isDisposed) {
      this.reconnectTimer = setTimeout(() => this.connect(), this.reconnectDelayMs);
      this.reconnectDelayMs = Math.min(maxReconnectDelayMs, this.reconnectDelayMs * 2);
    }
  }

  private checkConnection(): void {
    const { socket } = this;
    if (socket?.readyState !== WebSocket.OPEN) {
      return;
    }
    if (this.clock.monotonic() - this.lastReceivedAt > unresponsiveTimeoutMs) {
      socket.terminate();
      return;
    }
    socket.ping();
  }

  private failPending(): void {
    [...this.pending.keys()].forEach((requestId) => this.settle(requestId, unanswered()));
  }

  private settle(requestId: number, result: Result<unknown, MeshError>): void {
    const pending = this.pending.get(requestId);
    if (pending === undefined) {
      return;
    }
    this.pending.delete(requestId);
    clearTimeout(pending.timer);
    pending.settle(result);
  }
}

function unanswered(): Result<unknown, MeshError> {
  return err(
    new MeshError(
      MeshErrorKind.unanswered,
      'link closed or deadline passed before the peer responded',
    ),
  );
}
