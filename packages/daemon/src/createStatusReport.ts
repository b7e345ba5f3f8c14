import type { MeshNode } from '@apricothoist/mesh';
import type { BudgetedStore } from '@apricothoist/platform';

import type { ConfigurationKeeper } from './ConfigurationKeeper.js';
import type { PlanKeeper } from './PlanKeeper.js';
import type { PlanRunner } from './PlanRunner.js';
import type { ServiceRouters } from './ServiceRouters.js';
import type { EndpointEntry, InstanceEntry, StatusReport } from './StatusReport.js';
import type { WorkerGateway } from './WorkerGateway.js';

/** What a report is made from. */
export interface StatusSources {
  readonly instanceId: string;
  readonly name: string;
  readonly dataCentre: string;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  readonly configurations: ConfigurationKeeper;
  readonly store: BudgetedStore;
  readonly runner: PlanRunner;
  readonly plan: PlanKeeper;
  readonly routers: ServiceRouters;
  readonly gateway: WorkerGateway;
  readonly mesh: MeshNode;
  readonly shortfall: StatusReport['shortfall'];
}

export function createStatusReport(sources: StatusSources): StatusReport {
  const { instanceId, name, dataCentre, isReady, isLeaving, shortfall } = sources;
  const { traffic } = sources.mesh;
  return {
    instanceId,
    name,
    dataCentre,
    isReady,
    isLeaving,
    configurationRevision: sources.configurations.revision,
    storeState: sources.store.state,
    storeCalls: sources.store.calls,
    schedulesDataCentre: sources.runner.leads,
    planRevision: sources.plan.current.revision,
    openRequests: sources.routers.open,
    shortfall,
    instances: listInstances(sources.mesh),
    endpoints: listEndpoints(sources.routers),
    workers: sources.gateway.workers,
    meshBytesSent: traffic.sent,
    meshBytesReceived: traffic.received,
  };
}

function listInstances(mesh: MeshNode): InstanceEntry[] {
  return mesh.membership.all.map((member) => ({
    instanceId: member.instanceId,
    dataCentre: member.dataCentre,
    state: member.state,
    configurationRevision: member.digest?.configurationRevision ?? 0,
  }));
}

function listEndpoints(routers: ServiceRouters): EndpointEntry[] {
  return routers.all.flatMap((service) =>
    service.endpoints.all.map((endpoint) => ({
      service: service.name,
      id: endpoint.id,
      state: endpoint.state,
      inFlight: endpoint.inFlight,
    })),
  );
}
