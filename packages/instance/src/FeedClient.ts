import type { Clock, Event } from '@apricothoist/common';
import { Emitter, messageOf } from '@apricothoist/common';
import { WebSocket } from 'ws';

import type { HolderLocation } from './Election.js';
import { feedUrl } from './feedAddress.js';
import { decodeFeedUpdate } from './feedMessages.js';
import { isFeedAnswer, unpackMessage } from './FeedRequest.js';
import { HolderRequests } from './HolderRequests.js';
import type { FeedUpdate, JobStatusCache } from './JobStatusCache.js';

/** Timeout of the handshake in milliseconds: the delay that an unresponsive address causes. */
const connectTimeoutMs = 1_000;
/**
 * Milliseconds without an update before the connection is closed; one is sent every half second.
 */
const idleTimeoutMs = 1_500;
/** Milliseconds between checks for the idle timeout: a fraction of it. */
const checkIntervalMs = 250;

/** Largest update in bytes: a snapshot of several hundred thousand open jobs. */
const maxUpdateBytes = 16_000_000;

/** Receives the feed of the scheduling instance, over one connection at a time. */
export class FeedClient implements Disposable {
  private readonly changed = new Emitter<{ isConnected: boolean; reason: string }>();

  public readonly onChange: Event<{ isConnected: boolean; reason: string }> = this.changed.event;

  private socket: WebSocket | undefined;

  private receivedAt = 0;

  private isConnected = false;

  private isHolderInDoubt = false;

  private address = '';

  private readonly timer: NodeJS.Timeout;

  public constructor(
    private readonly statusCache: JobStatusCache,
    private readonly clock: Clock,
    /** Processing capacity of this instance in cores. */
    private readonly cores: number,
    /** Requests that are sent over the connection. */
    private readonly requests = new HolderRequests(clock),
  ) {
    this.timer = setInterval(() => this.checkIdle(), checkIntervalMs);
  }

  /** Whether a connection to a holder with a valid lease is open or being established. */
  public get isActive(): boolean {
    return this.socket !== undefined && !this.isHolderInDoubt;
  }

  public connect(location: HolderLocation): void {
    if (this.socket !== undefined && location.feedAddress === this.address) {
      return;
    }
    this.disconnect('another instance is the scheduling instance');
    this.address = location.feedAddress;
    this.isHolderInDoubt = false;
    const socket = new WebSocket(feedUrl(location.feedAddress, this.cores), {
      handshakeTimeout: connectTimeoutMs,
      perMessageDeflate: false,
      maxPayload: maxUpdateBytes,
    });
    this.socket = socket;
    this.receivedAt = this.clock.monotonic();
    socket.on('message', (data: Buffer) => this.receive(socket, data));
    socket.on('error', (error) => this.drop(socket, messageOf(error)));
    socket.on('close', () => this.drop(socket, 'connection closed'));
  }

  public disconnect(reason: string): void {
    if (this.socket !== undefined) {
      this.drop(this.socket, reason);
    }
  }

  private receive(socket: WebSocket, data: Buffer): void {
    if (socket !== this.socket) {
      return;
    }
    this.receivedAt = this.clock.monotonic();
    const message = unpackMessage(data);
    if (isFeedAnswer(message)) {
      this.requests.receive(message);
      return;
    }
    const update = decodeFeedUpdate(message);
    if (update.isErr()) {
      this.drop(socket, `unreadable update: ${update.error.message}`);
      return;
    }
    if (this.isConnected) {
      this.apply(update.value);
      return;
    }
    this.isConnected = true;
    // Forgets the report of the connection before; the snapshot has a new one.
    this.requests.connect((frame) => trySend(socket, frame));
    this.apply(update.value);
    this.changed.fire({ isConnected: true, reason: 'snapshot received' });
  }

  private apply(update: FeedUpdate): void {
    this.isHolderInDoubt = update.isInDoubt === true;
    if (!this.isHolderInDoubt) {
      this.statusCache.apply(update);
    }
    const { isStoreReachable = false, requestVersion = 0 } = update.service ?? {};
    if (this.isHolderInDoubt || update.service !== undefined) {
      this.requests.recordReport(isStoreReachable, requestVersion);
    }
  }

  private checkIdle(): void {
    if (this.socket !== undefined && this.clock.monotonic() - this.receivedAt > idleTimeoutMs) {
      this.drop(this.socket, 'no update before the idle timeout');
    }
  }

  private drop(socket: WebSocket, reason: string): void {
    socket.terminate();
    if (socket !== this.socket) {
      return;
    }
    this.socket = undefined;
    this.requests.disconnect(reason);
    if (this.isConnected) {
      this.isConnected = false;
      this.changed.fire({ isConnected: false, reason });
    }
  }

  public [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.disconnect('instance stops');
    this.changed[Symbol.dispose]();
  }
}

function trySend(socket: WebSocket, frame: Buffer): boolean {
  const isOpen = socket.readyState === WebSocket.OPEN;
  if (isOpen) {
    socket.send(frame);
  }
  return isOpen;
}
