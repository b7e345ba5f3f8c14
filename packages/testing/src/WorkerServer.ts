import type { WorkerAssignment } from '@apricothoist/platform';

import { LoopbackServer, sendJson } from './LoopbackServer.js';
import type { WorkerBehaviour } from './WorkerModel.js';
import { WorkerModel } from './WorkerModel.js';

/** HTTP server of a {@link WorkerModel} that speaks the workers' protocol. */
export class WorkerServer implements AsyncDisposable {
  public readonly model: WorkerModel;

  private readonly timer: NodeJS.Timeout;

  private readonly server = new LoopbackServer(async (request, response, body) => {
    if (request.url === '/v1/assign') {
      const assignment = JSON.parse(body) as WorkerAssignment;
      sendJson(response, 200, this.model.assign(assignment, Date.now()));
      return;
    }
    sendJson(response, 200, { runs: this.model.runs });
  });

  public constructor(id: string, accelerators: number, behaviour: WorkerBehaviour) {
    this.model = new WorkerModel(id, accelerators, behaviour);
    this.timer = setInterval(() => this.model.advance(Date.now()), 20);
  }

  public listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    await this.server[Symbol.asyncDispose]();
  }
}
