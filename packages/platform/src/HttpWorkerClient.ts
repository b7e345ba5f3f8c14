import type { Clock } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { AgentPool } from './AgentPool.js';
import { httpCall, HttpErrorKind } from './httpCall.js';
import type { WorkerAssignment, WorkerClient, WorkerReport } from './WorkerClient.js';
import { workerReportSchema } from './WorkerClient.js';
import { WorkerError, WorkerErrorKind } from './WorkerError.js';

/** Maximum number of connections to one worker. */
const maxConnections = 2;

/** HTTP client of the workers. */
export class HttpWorkerClient implements WorkerClient, Disposable {
  private readonly agents = new AgentPool(maxConnections);

  public constructor(private readonly clock: Clock) {}

  public async assign(
    address: string,
    assignment: WorkerAssignment,
    deadline: number,
  ): Promise<Result<WorkerReport, WorkerError>> {
    const url = `http://${address}/v1/assign`;
    const body = JSON.stringify(assignment);
    const agent = this.agents.agentFor(address);
    const response = await httpCall({ method: 'POST', url, body, deadline, agent }, this.clock);
    if (response.isErr()) {
      if (response.error.kind !== HttpErrorKind.notSent) {
        this.agents.destroyConnections(address);
      }
      const options = { cause: response.error };
      return err(new WorkerError(WorkerErrorKind.unreachable, response.error.message, options));
    }
    try {
      return ok(workerReportSchema.parse(JSON.parse(response.value.body)));
    } catch (cause) {
      const message = `invalid report from worker ${address}`;
      return err(new WorkerError(WorkerErrorKind.malformed, message, { cause }));
    }
  }

  public [Symbol.dispose](): void {
    this.agents[Symbol.dispose]();
  }
}
