import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** What a relay does with connections. */
export const RelayMode = {
  open: 'open',
  /** Connections stay open and nothing passes; new ones are accepted and stay silent too. */
  silent: 'silent',
  /** Connections are closed, also new ones. */
  closed: 'closed',
} as const;
export type RelayMode = (typeof RelayMode)[keyof typeof RelayMode];

/** Passes TCP connections on to a port of loopback, and can cut them. */
export class TcpRelay implements AsyncDisposable {
  private mode: RelayMode = RelayMode.open;

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((inner) => this.accept(inner));

  public constructor(private readonly targetPort: number) {}

  public listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Changes what happens to present and future connections. Silent ones never speak again. */
  public setMode(mode: RelayMode): void {
    this.mode = mode;
    if (mode === RelayMode.closed) {
      this.sockets.forEach((socket) => socket.destroy());
    }
    if (mode === RelayMode.silent) {
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

  private accept(inner: Socket): void {
    this.keep(inner);
    if (this.mode === RelayMode.closed) {
      inner.destroy();
      return;
    }
    if (this.mode === RelayMode.silent) {
      inner.pause();
      return;
    }
    const outer = connect(this.targetPort, '127.0.0.1');
    this.keep(outer);
    inner.pipe(outer);
    outer.pipe(inner);
    inner.on('close', () => outer.destroy());
    outer.on('close', () => inner.destroy());
  }

  private keep(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
  }
}
