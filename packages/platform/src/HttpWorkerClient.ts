import { Agent } from 'node:http';

import type { Clock } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { httpCall, HttpErrorKind } from './httpCall.js';
import type { WorkerAssignment, WorkerClient, WorkerReport } from './WorkerClient.js';
import { workerReportSchema } from './WorkerClient.js';
import { WorkerError, WorkerErrorKind } from './WorkerError.js';

/** Speaks the workers' HTTP protocol. */
export class HttpWorkerClient implements WorkerClient, Disposable {
  private readonly agents = new Map<string, Agent>();

  public constructor(private readonly clock: Clock) {}

  public async assign(
    address: string,
    assignment: WorkerAssignment,
    deadline: number,
  ): Promise<Result<WorkerReport, WorkerError>> {
    const url = `http://${address}/v1/assign`;
    const body = JSON.stringify(assignment);
    const agent = this.agentFor(address);
    const answer = await httpCall({ method: 'POST', url, body, deadline, agent }, this.clock);
    if (answer.isErr()) {
      if (answer.error.kind !== HttpErrorKind.notSent) {
        this.dropConnections(address);
      }
      const options = { cause: answer.error };
      return err(new WorkerError(WorkerErrorKind.unreachable, answer.error.message, options));
    }
    try {
      return ok(workerReportSchema.parse(JSON.parse(answer.value.body)));
    } catch (cause) {
      const message = `unreadable report of ${address}`;
      return err(new WorkerError(WorkerErrorKind.malformed, message, { cause }));
    }
  }

  public [Symbol.dispose](): void {
    this.agents.forEach((agent) => agent.destroy());
    this.agents.clear();
  }

  private agentFor(address: string): Agent {
    const known = this.agents.get(address);
    if (known !== undefined) {
      return known;
    }
    const agent = new Agent({ keepAlive: true, maxSockets: 2 });
    this.agents.set(address, agent);
    return agent;
  }

  private dropConnections(address: string): void {
    this.agents.get(address)?.destroy();
    this.agents.delete(address);
  }
}
