import type { Clock, Event } from '@apricothoist/common';
import { Emitter, messageOf } from '@apricothoist/common';
import { unpack } from 'msgpackr';
import { WebSocket } from 'ws';

import type { HolderLocation } from './Election.js';
import { feedUrl } from './feedAddress.js';
import type { BoardUpdate, JobBoard } from './JobBoard.js';

/** Milliseconds for the connection; a silent address costs this much. */
const connectMs = 1_000;
/** Milliseconds without news after which the connection is given up; news come every half second. */
const silentMs = 1_500;
/** Milliseconds between two looks at the silence: a fraction of it. */
const checkEveryMs = 250;

/** Follows the scheduling instance. One connection at a time; the election says where to. */
export class FeedClient implements Disposable {
  private readonly changed = new Emitter<{ isConnected: boolean; reason: string }>();

  public readonly onChange: Event<{ isConnected: boolean; reason: string }> = this.changed.event;

  private socket: WebSocket | undefined;

  private heardAt = 0;

  private isConnected = false;

  private readonly timer: NodeJS.Timeout;

  public constructor(
    private readonly board: JobBoard,
    private readonly clock: Clock,
    /** Processing power of this instance in cores. */
    private readonly cores: number,
  ) {
    this.timer = setInterval(() => this.check(), checkEveryMs);
  }

  /** Whether a connection is up or being made. */
  public get isActive(): boolean {
    return this.socket !== undefined;
  }

  public connect(location: HolderLocation): void {
    if (this.socket !== undefined) {
      return;
    }
    const socket = new WebSocket(feedUrl(location.feedAddress, this.cores), {
      handshakeTimeout: connectMs,
      perMessageDeflate: false,
    });
    this.socket = socket;
    this.heardAt = this.clock.monotonic();
    socket.on('message', (data: Buffer) => this.read(socket, data));
    socket.on('error', (error) => this.drop(socket, messageOf(error)));
    socket.on('close', () => this.drop(socket, 'closed'));
  }

  public disconnect(reason: string): void {
    if (this.socket !== undefined) {
      this.drop(this.socket, reason);
    }
  }

  private read(socket: WebSocket, data: Buffer): void {
    if (socket !== this.socket) {
      return;
    }
    this.heardAt = this.clock.monotonic();
    try {
      this.board.apply(unpack(data) as BoardUpdate);
    } catch (error) {
      this.drop(socket, `unreadable news: ${messageOf(error)}`);
      return;
    }
    if (!this.isConnected) {
      this.isConnected = true;
      this.changed.fire({ isConnected: true, reason: 'snapshot received' });
    }
  }

  private check(): void {
    if (this.socket !== undefined && this.clock.monotonic() - this.heardAt > silentMs) {
      this.drop(this.socket, 'silent');
    }
  }

  private drop(socket: WebSocket, reason: string): void {
    socket.terminate();
    if (socket !== this.socket) {
      return;
    }
    this.socket = undefined;
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
