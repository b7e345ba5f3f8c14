import type { z } from 'zod';

import type { CommandContext } from '../CommandContext.js';
import { formatTable } from '../Output.js';
import { statusResponseSchema } from '../schemas.js';

type Status = z.output<typeof statusResponseSchema>;

/** Prints the status of one instance and its view of the other instances, endpoints and workers. */
export async function status(context: CommandContext): Promise<void> {
  const report = await context.client().get('/v1/status', statusResponseSchema);
  context.output.printResult(report, formatStatus(report));
}

function formatStatus(report: Status): string[] {
  const readiness = report.isReady ? 'ready' : 'not ready';
  const role = report.schedulesDataCentre ? 'schedules this data centre' : 'does not schedule';
  const usableCount = report.workers.filter((worker) => worker.isUsable).length;
  const unmet = report.shortfall.map(({ account, guarantee }) => `${account}/${guarantee}`);
  const guarantees = unmet.length === 0 ? 'all can be met' : `cannot be met: ${unmet.join(', ')}`;
  return [
    `instance       ${report.name} (${report.instanceId}) in ${report.dataCentre}, ${readiness}`,
    `configuration  revision ${report.configurationRevision}`,
    `store          ${report.storeState}, ${report.storeCalls} calls since the start`,
    `scheduling     ${role}, plan ${report.planRevision}`,
    `guarantees     ${guarantees}`,
    `requests       ${report.openRequests} open`,
    `workers        ${usableCount} usable of ${report.workers.length}`,
    '',
    ...formatTable(
      ['INSTANCE', 'DATA CENTRE', 'STATE', 'CONFIGURATION'],
      report.instances.map((row) => [
        row.instanceId,
        row.dataCentre,
        row.state,
        String(row.configurationRevision),
      ]),
    ),
    '',
    ...formatTable(
      ['ENDPOINT', 'SERVICE', 'STATE', 'IN FLIGHT'],
      report.endpoints.map((row) => [row.id, row.service, row.state, String(row.inFlight)]),
    ),
  ];
}
