import { setTimeout as delay } from 'node:timers/promises';

import type { StoreWrite } from '@apricothoist/platform';
import { StoreErrorKind } from '@apricothoist/platform';

import { LoopbackServer, sendJson } from './LoopbackServer.js';
import { MemoryStore } from './MemoryStore.js';

/** Faults that `POST /control` sets; absent fields stay as they are. */
interface StoreServerFaults {
  isDown?: boolean;
  delayMs?: number;
  lostAnswers?: number;
}

const watchTimeoutMs = 4_000;

/** HTTP server of a {@link MemoryStore} that speaks the protocol of `HttpStoreTransport`. */
export class StoreServer implements AsyncDisposable {
  public readonly store = new MemoryStore(() => Date.now());

  private delayMs = 0;

  /** Number of calls, failed ones included, by the second of wall time. */
  public readonly callsBySecond = new Map<number, number>();

  private readonly server = new LoopbackServer(async (request, response, body) => {
    const url = new URL(request.url ?? '/', 'http://store');
    if (url.pathname === '/control') {
      this.applyFaults(JSON.parse(body) as StoreServerFaults);
      sendJson(response, 200, { calls: Object.fromEntries(this.callsBySecond) });
      return;
    }
    this.countCall();
    if (this.store.faults.isUnavailable) {
      request.socket.destroy();
      return;
    }
    await delay(this.delayMs);
    const result = await this.handleCall(request.method ?? '', url, body);
    if (result === undefined) {
      request.socket.destroy();
      return;
    }
    sendJson(response, result.status, result.body);
  });

  public listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this.server[Symbol.asyncDispose]();
  }

  private applyFaults(faults: StoreServerFaults): void {
    this.store.faults.isUnavailable = faults.isDown ?? this.store.faults.isUnavailable;
    this.store.faults.lostResponses = faults.lostAnswers ?? this.store.faults.lostResponses;
    this.delayMs = faults.delayMs ?? this.delayMs;
  }

  private countCall(): void {
    const second = Math.floor(Date.now() / 1_000);
    this.callsBySecond.set(second, (this.callsBySecond.get(second) ?? 0) + 1);
  }

  private async handleCall(
    method: string,
    url: URL,
    body: string,
  ): Promise<{ status: number; body: unknown } | undefined> {
    const { pathname, searchParams } = url;
    if (pathname === '/v1/list') {
      const listed = await this.store.list(searchParams.get('prefix') ?? '');
      return listed.match(
        (entries) => ({ status: 200, body: { entries } }),
        () => undefined,
      );
    }
    if (pathname === '/v1/watch') {
      return this.handleWatch(searchParams);
    }
    const key = decodeURIComponent(pathname.slice('/v1/keys/'.length));
    return method === 'PUT' ? this.handleWrite(key, searchParams, body) : this.handleRead(key);
  }

  private async handleRead(key: string) {
    const read = await this.store.read(key);
    return read.match(
      (value) => (value === undefined ? { status: 404, body: {} } : { status: 200, body: value }),
      () => undefined,
    );
  }

  private async handleWrite(key: string, query: URLSearchParams, value: string) {
    const expiresAt = query.get('expiresAt');
    const write: StoreWrite = {
      key,
      expected: Number(query.get('expected')),
      value,
      ...(expiresAt === null ? {} : { expiresAt: Number(expiresAt) }),
    };
    const written = await this.store.write(write);
    return written.match(
      (version) => ({ status: 200, body: { version } }),
      (error) => (error.kind === StoreErrorKind.conflict ? { status: 409, body: {} } : undefined),
    );
  }

  private async handleWatch(query: URLSearchParams) {
    const timer = setTimeout(() => this.store.endWatches(), watchTimeoutMs);
    const prefix = query.get('prefix') ?? '';
    const changes = await this.store.watch(prefix, Number(query.get('after')));
    clearTimeout(timer);
    return changes.match(
      (body) => ({ status: 200, body }),
      () => undefined,
    );
  }
}
