import type { ListedInstance } from '@apricothoist/platform';

import { LoopbackServer, sendJson } from './LoopbackServer.js';

/** Fake of the platform's instance list. `PUT /v1/instances` replaces the list. */
export class InstanceListServer implements AsyncDisposable {
  private instances: readonly ListedInstance[] = [];

  private isUnavailable = false;

  private version = 0;

  /** Number of responses that carried the list; the others had status 304. */
  public fullResponses = 0;

  private readonly server = new LoopbackServer(async (request, response, body) => {
    if (request.url === '/control') {
      this.isUnavailable = (JSON.parse(body) as { isDown: boolean }).isDown;
    } else if (this.isUnavailable) {
      request.socket.destroy();
      return;
    } else if (request.method === 'PUT') {
      this.instances = (JSON.parse(body) as { instances: ListedInstance[] }).instances;
      this.version += 1;
    }
    const etag = `"${this.version}"`;
    response.setHeader('etag', etag);
    if (request.headers['if-none-match'] === etag) {
      response.writeHead(304).end();
      return;
    }
    this.fullResponses += 1;
    sendJson(response, 200, { instances: this.instances });
  });

  public listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this.server[Symbol.asyncDispose]();
  }
}
