import type { Clock } from '@apricothoist/common';
import { Random } from '@apricothoist/common';
import type { ResponseContent, CoreServices, ServiceSender } from '@apricothoist/daemon/core';
import { EntryCore } from '@apricothoist/daemon/core';
import type {
  InstanceList,
  ListedInstance,
  WorkerAssignment,
  WorkerClient,
  WorkerReport,
} from '@apricothoist/platform';
import {
  InstanceListError,
  InstanceListErrorKind,
  WorkerError,
  WorkerErrorKind,
} from '@apricothoist/platform';
import type { AttemptResult } from '@apricothoist/router';
import { AttemptOutcome } from '@apricothoist/router';
import type { MemoryStore, WorkerModel } from '@apricothoist/testing';
import type { Result } from 'neverthrow';

import type { EndpointResponse, VirtualEndpoint } from './VirtualEndpoint.js';
import { VirtualMesh } from './VirtualMesh.js';
import type { VirtualNetwork } from './VirtualNetwork.js';
import { CallFailure } from './VirtualNetwork.js';
import { VirtualTransport } from './VirtualTransport.js';

/** Services that all instances of a simulation share. */
export interface SimulationServices {
  readonly clock: Clock;
  readonly network: VirtualNetwork;
  readonly store: MemoryStore;
  /** Returns the platform's instance list as the given instance sees it. */
  readonly list: (reader: string) => readonly ListedInstance[];
  /** Workers by address. */
  readonly workers: ReadonlyMap<string, WorkerModel>;
  /** Endpoints by address. */
  readonly endpoints: ReadonlyMap<string, VirtualEndpoint>;
  readonly meshes: Map<string, VirtualMesh>;
  readonly createId: () => string;
}

const listName = 'list';
const listTimeoutMs = 2_000;

/** Creates the product's core with all its external services simulated. */
export function createVirtualCore(
  name: string,
  dataCentre: string,
  seed: number,
  simulation: SimulationServices,
): EntryCore {
  const { clock, network, createId } = simulation;
  const now = (): number => clock.monotonic();
  const instanceId = createId();
  const identity = { instanceId, dataCentre, address: name };
  const services: CoreServices = {
    clock,
    random: new Random(seed),
    createId,
    transport: new VirtualTransport(name, simulation),
    instanceList: createInstanceList(name, simulation),
    workerClient: createWorkerClient(name, simulation),
    createMesh: (createContent) =>
      new VirtualMesh(identity, createContent, network, simulation.meshes, now),
    createSender: () => createSender(name, simulation),
  };
  return new EntryCore(
    {
      instanceId,
      dataCentre,
      meshAddress: name,
      storeCallsPerSecond: 100,
      storeTimeoutMs: 1_000,
      listIntervalMs: 1_000,
    },
    services,
  );
}

function createInstanceList(name: string, simulation: SimulationServices): InstanceList {
  return {
    read: async () => {
      const deadline = simulation.clock.monotonic() + listTimeoutMs;
      const response = await simulation.network.call(
        name,
        listName,
        () => simulation.list(name),
        deadline,
      );
      return response.mapErr(
        (failure) => new InstanceListError(InstanceListErrorKind.unavailable, failure),
      );
    },
  };
}

function createWorkerClient(name: string, simulation: SimulationServices): WorkerClient {
  return {
    assign: async (
      address: string,
      assignment: WorkerAssignment,
      deadline: number,
    ): Promise<Result<WorkerReport, WorkerError>> => {
      const operation = (): WorkerReport => {
        const model = simulation.workers.get(address);
        if (model === undefined) {
          throw new RangeError(`no worker at "${address}"`);
        }
        return model.assign(structuredClone(assignment), simulation.clock.wall());
      };
      const response = await simulation.network.call(name, address, operation, deadline);
      return response.mapErr((failure) => new WorkerError(WorkerErrorKind.unreachable, failure));
    },
  };
}

function createSender(name: string, simulation: SimulationServices): ServiceSender {
  return {
    send: async (endpoint, descriptor, content, deadline) => {
      const requestId = String(content.headers['x-request']);
      const operation = (): Promise<EndpointResponse> | EndpointResponse =>
        simulation.endpoints.get(endpoint.address)?.serve(requestId) ?? { kind: 'busy', requestId };
      const response = await simulation.network.call(name, endpoint.address, operation, deadline);
      return response.match(toAttemptResult, (failure): AttemptResult<ResponseContent> =>
        failure === CallFailure.refused
          ? { outcome: AttemptOutcome.notRun, isBusy: false, isLeaving: false }
          : { outcome: AttemptOutcome.unknown },
      );
    },
    [Symbol.dispose]: () => {},
  };
}

function toAttemptResult(response: EndpointResponse): AttemptResult<ResponseContent> {
  const body = Buffer.from(response.requestId);
  const answered = (status: number): AttemptResult<ResponseContent> => ({
    outcome: AttemptOutcome.answered,
    isFailure: status >= 500,
    answer: { status, headers: {}, body },
  });
  const results: Record<EndpointResponse['kind'], AttemptResult<ResponseContent>> = {
    answered: answered(200),
    failed: answered(500),
    truncated: { outcome: AttemptOutcome.unknown },
    busy: { outcome: AttemptOutcome.notRun, isBusy: true, isLeaving: false },
    leaving: { outcome: AttemptOutcome.notRun, isBusy: false, isLeaving: true },
  };
  return results[response.kind];
}
