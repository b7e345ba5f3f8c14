import type { z } from 'zod';

import type { CommandContext } from '../CommandContext.js';
import { formatTable } from '../Output.js';
import { statusAnswer } from '../schemas.js';

type Status = z.output<typeof statusAnswer>;

/** Prints what one instance says about itself and sees. */
export async function status(context: CommandContext): Promise<void> {
  const report = await context.client().get('/v1/status', statusAnswer);
  context.output.result(report, describe(report));
}

function describe(report: Status): string[] {
  const ready = report.isReady ? 'ready' : 'not ready';
  const role = report.schedulesDataCentre ? 'schedules this data centre' : 'does not schedule';
  const usable = report.workers.filter((worker) => worker.isUsable).length;
  const shortfall = report.shortfall.map(({ account, guarantee }) => `${account}/${guarantee}`);
  const guarantees =
    shortfall.length === 0 ? 'all can be met' : `cannot be met: ${shortfall.join(', ')}`;
  return [
    `instance       ${report.name} (${report.instanceId}) in ${report.dataCentre}, ${ready}`,
    `configuration  revision ${report.configurationRevision}`,
    `store          ${report.storeState}, ${report.storeCalls} calls since the start`,
    `scheduling     ${role}, plan ${report.planRevision}`,
    `guarantees     ${guarantees}`,
    `requests       ${report.openRequests} open`,
    `workers        ${usable} usable of ${report.workers.length}`,
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
