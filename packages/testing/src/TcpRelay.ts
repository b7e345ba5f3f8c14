import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** How a relay treats its connections. */
export const RelayMode = {
  open: 'open',
  /** Existing connections stay open, new ones are accepted, and none forwards data. */
  unresponsive: 'unresponsive',
  /** Existing connections are closed, and new ones as soon as they are accepted. */
  closed: 'closed',
} as const;
export type RelayMode = (typeof RelayMode)[keyof typeof RelayMode];

/** Forwards TCP connections to a loopback port and can interrupt them. */
export class TcpRelay implements AsyncDisposable {
  private mode: RelayMode = RelayMode.open;

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((client) => this.accept(client));

  public constructor(private readonly targetPort: number) {}

  public listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /**
   * Sets the mode of existing and new connections. A connection that became unresponsive never
   * forwards data again.
   */
  public setMode(mode: RelayMode): void {
    this.mode = mode;
    if (mode === RelayMode.closed) {
      this.sockets.forEach((socket) => socket.destroy());
    }
    if (mode === RelayMode.unresponsive) {
      this.sockets.forEach((socket) => {
        socket.unpipe();
        socket.pause();
      });
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(client: Socket): void {
    this.track(client);
    if (this.mode === RelayMode.closed) {
      client.destroy();
      return;
    }
    if (this.mode === RelayMode.unresponsive) {
      client.pause();
      return;
    }
    const upstream = connect(this.targetPort, '127.0.0.1');
    this.track(upstream);
    client.pipe(upstream);
    upstream.pipe(client);
    client.on('close', () => upstream.destroy());
    upstream.on('close', () => client.destroy());
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
  }
}
