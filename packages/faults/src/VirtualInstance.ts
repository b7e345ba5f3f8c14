import type { Clock } from '@apricothoist/common';
import { Random } from '@apricothoist/common';
import type { AnswerContent, CoreServices, ServiceSender } from '@apricothoist/daemon/core';
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

import type { EndpointAnswer, VirtualEndpoint } from './VirtualEndpoint.js';
import { VirtualMesh } from './VirtualMesh.js';
import type { VirtualNetwork } from './VirtualNetwork.js';
import { CallFault } from './VirtualNetwork.js';
import { VirtualTransport } from './VirtualTransport.js';

/** What all instances of a virtual world share. */
export interface WorldServices {
  readonly clock: Clock;
  readonly network: VirtualNetwork;
  readonly store: MemoryStore;
  /** The platform's list as an instance reads it. */
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

/** The product's core with everything outside replaced by the virtual world. */
export function createVirtualCore(
  name: string,
  dataCentre: string,
  seed: number,
  world: WorldServices,
): EntryCore {
  const { clock, network, createId } = world;
  const now = (): number => clock.monotonic();
  const instanceId = createId();
  const identity = { instanceId, dataCentre, address: name };
  const services: CoreServices = {
    clock,
    random: new Random(seed),
    createId,
    transport: new VirtualTransport(name, world),
    instanceList: createList(name, world),
    workerClient: createWorkerClient(name, world),
    createMesh: (describe) => new VirtualMesh(identity, describe, network, world.meshes, now),
    createSender: () => createSender(name, world),
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

function createList(name: string, world: WorldServices): InstanceList {
  return {
    read: async () => {
      const deadline = world.clock.monotonic() + listTimeoutMs;
      const answer = await world.network.call(name, listName, () => world.list(name), deadline);
      return answer.mapErr(
        (fault) => new InstanceListError(InstanceListErrorKind.unavailable, fault),
      );
    },
  };
}

function createWorkerClient(name: string, world: WorldServices): WorkerClient {
  return {
    assign: async (
      address: string,
      assignment: WorkerAssignment,
      deadline: number,
    ): Promise<Result<WorkerReport, WorkerError>> => {
      const work = (): WorkerReport => {
        const model = world.workers.get(address);
        if (model === undefined) {
          throw new RangeError(`no worker at "${address}"`);
        }
        return model.assign(structuredClone(assignment), world.clock.wall());
      };
      const answer = await world.network.call(name, address, work, deadline);
      return answer.mapErr((fault) => new WorkerError(WorkerErrorKind.unreachable, fault));
    },
  };
}

function createSender(name: string, world: WorldServices): ServiceSender {
  return {
    send: async (endpoint, ticket, content, deadline) => {
      const requestId = String(content.headers['x-request']);
      const work = (): Promise<EndpointAnswer> | EndpointAnswer =>
        world.endpoints.get(endpoint.address)?.serve(requestId) ?? { kind: 'busy', requestId };
      const answer = await world.network.call(name, endpoint.address, work, deadline);
      return answer.match(toResult, (fault): AttemptResult<AnswerContent> =>
        fault === CallFault.refused
          ? { outcome: AttemptOutcome.notRun, isBusy: false, isLeaving: false }
          : { outcome: AttemptOutcome.unknown },
      );
    },
    [Symbol.dispose]: () => {},
  };
}

function toResult(answer: EndpointAnswer): AttemptResult<AnswerContent> {
  const body = Buffer.from(answer.requestId);
  const answered = (status: number): AttemptResult<AnswerContent> => ({
    outcome: AttemptOutcome.answered,
    isFailure: status >= 500,
    answer: { status, headers: {}, body },
  });
  const results: Record<EndpointAnswer['kind'], AttemptResult<AnswerContent>> = {
    answered: answered(200),
    failed: answered(500),
    truncated: { outcome: AttemptOutcome.unknown },
    busy: { outcome: AttemptOutcome.notRun, isBusy: true, isLeaving: false },
    leaving: { outcome: AttemptOutcome.notRun, isBusy: false, isLeaving: true },
  };
  return results[answer.kind];
}
