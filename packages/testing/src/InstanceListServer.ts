import type { ListedInstance } from '@apricothoist/platform';

import { LoopbackServer, sendJson } from './LoopbackServer.js';

/** The platform's instance list as a process of its own. `PUT /v1/instances` replaces the rows. */
export class InstanceListServer implements AsyncDisposable {
  private rows: readonly ListedInstance[] = [];

  private isDown = false;

  private readonly server = new LoopbackServer(async (request, response, body) => {
    if (request.url === '/control') {
      this.isDown = (JSON.parse(body) as { isDown: boolean }).isDown;
    } else if (this.isDown) {
      request.socket.destroy();
      return;
    } else if (request.method === 'PUT') {
      this.rows = (JSON.parse(body) as { instances: ListedInstance[] }).instances;
    }
    sendJson(response, 200, { instances: this.rows });
  });

  public listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this.server[Symbol.asyncDispose]();
  }
}
