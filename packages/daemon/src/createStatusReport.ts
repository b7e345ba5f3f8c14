import type { Mesh } from '@apricothoist/mesh';

import type { EntryCore } from './EntryCore.js';
import type { ServiceRouters } from './ServiceRouters.js';
import type { EndpointEntry, InstanceEntry, StatusReport } from './StatusReport.js';

/** Inputs of a status report. */
export interface StatusSources {
  readonly instanceId: string;
  readonly name: string;
  readonly dataCentre: string;
  readonly core: EntryCore;
  readonly shortfall: StatusReport['shortfall'];
}

export function createStatusReport(sources: StatusSources): StatusReport {
  const { instanceId, name, dataCentre, core, shortfall } = sources;
  const { traffic } = core.mesh;
  return {
    instanceId,
    name,
    dataCentre,
    isReady: core.isReady,
    isLeaving: core.isLeavingNow,
    configurationRevision: core.configurations.revision,
    storeState: core.store.state,
    storeCalls: core.store.calls,
    schedulesDataCentre: core.runner.isLeader,
    planRevision: core.plan.current.revision,
    openRequests: core.routers.openRequestCount,
    shortfall,
    instances: listInstances(core.mesh),
    endpoints: listEndpoints(core.routers),
    workers: core.gateway.workers,
    meshBytesSent: traffic.sent,
    meshBytesReceived: traffic.received,
  };
}

function listInstances(mesh: Mesh): InstanceEntry[] {
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
