import type { ListedInstance } from '@apricothoist/platform';

import { LoopbackServer, sendJson } from './LoopbackServer.js';

/** The platform's instance list as a process of its own. `PUT /v1/instances` replaces the rows. */
export class InstanceListServer implements AsyncDisposable {
  private rows: readonly ListedInstance[] = [];

  private isDown = false;

  private version = 0;

  /** Answers that carried the rows. */
  public fullAnswers = 0;

  private readonly server = new LoopbackServer(async (request, response, body) => {
    if (request.url === '/control') {
      this.isDown = (JSON.parse(body) as { isDown: boolean }).isDown;
    } else if (this.isDown) {
      request.socket.destroy();
      return;
    } else if (request.method === 'PUT') {
      this.rows = (JSON.parse(body) as { instances: ListedInstance[] }).instances;
      this.version += 1;
    }
    const tag = `"${this.version}"`;
    response.setHeader('etag', tag);
    if (request.headers['if-none-match'] === tag) {
      response.writeHead(304).end();
      return;
    }
    this.fullAnswers += 1;
    sendJson(response, 200, { instances: this.rows });
  });

  public listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this.server[Symbol.asyncDispose]();
  }
}
