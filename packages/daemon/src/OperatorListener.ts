import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import type { Event, Secret } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';

import type { Metrics } from './Metrics.js';
import type { OperatorApi } from './OperatorApi.js';
import { readBody } from './readBody.js';

const maxBodyBytes = 1_200_000;
const bearerPattern = /^Bearer (.+)$/;

/** Serves the operator API, and health checks and metrics, which need no credential. */
export class OperatorListener implements AsyncDisposable {
  public readonly server = createServer((request, response) => {
    this.serve(request, response).catch(() => response.destroy());
  });

  private readonly rejected = new Emitter<string>();

  /** Fires with the remote address when a credential is rejected. */
  public readonly onRejected: Event<string> = this.rejected.event;

  public constructor(
    private readonly api: OperatorApi,
    private readonly metrics: Metrics,
    private readonly token: Secret | undefined,
    private readonly isReady: () => boolean,
  ) {}

  public async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
    this.rejected[Symbol.dispose]();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const publicRoutes: Readonly<Record<string, () => Promise<void>>> = {
      '/healthz': async () => writeText(response, 200, 'ok'),
      '/readyz': async () =>
        this.isReady() ? writeText(response, 200, 'ready') : writeText(response, 503, 'not ready'),
      '/metrics': async () => {
        response.setHeader('content-type', this.metrics.contentType);
        response.end(await this.metrics.expose());
      },
    };
    const handler = publicRoutes[request.url ?? ''];
    if (handler !== undefined) {
      await handler();
      return;
    }
    if (!this.isAuthorized(request)) {
      request.resume();
      this.rejected.fire(request.socket.remoteAddress ?? '');
      writeText(response, 401, 'operator credential needed');
      return;
    }
    const body = await readBody(request, maxBodyBytes);
    if (body.isErr()) {
      response.setHeader('connection', 'close');
      writeText(response, 413, `body exceeds ${maxBodyBytes} bytes`);
      return;
    }
    if (!(await this.api.serve(request, response, body.value))) {
      writeText(response, 404, 'no such resource');
    }
  }

  private isAuthorized(request: IncomingMessage): boolean {
    const [, candidate = ''] = bearerPattern.exec(request.headers.authorization ?? '') ?? [];
    return this.token === undefined || this.token.matches(candidate);
  }
}

function writeText(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain' });
  response.end(`${text}\n`);
}
