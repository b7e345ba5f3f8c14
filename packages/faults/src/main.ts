import process from 'node:process';

import type { FaultKind } from './faultKinds.js';
import { faultKinds } from './faultKinds.js';
import { flows } from './flows.js';
import type { Cell } from './runCell.js';
import { replayCommand, runCell } from './runCell.js';

const [, , ...args] = process.argv;
const named = (name: string): string[] =>
  args.flatMap((value, index) => (args[index - 1] === `--${name}` ? [value] : []));
const seed = Number(named('seed')[0] ?? 1);
const steps = named('step').length > 0 ? named('step').map(Number) : [0, 6, 14, 24, 40];
const wantedFlows = named('flow');
const wantedFaults = named('fault');
const faultSets: (readonly FaultKind[])[] =
  wantedFaults.length > 0
    ? [wantedFaults.map((name) => faultKinds.find((fault) => fault.name === name) as FaultKind)]
    : faultKinds.map((fault) => [fault]);
let failed = 0;
for (const flow of flows.filter(
  (item) => wantedFlows.length === 0 || wantedFlows.includes(item.name),
)) {
  for (const faults of faultSets) {
    for (const step of steps) {
      const cell: Cell = { flow, faults, step, seed };
      const result = await runCell(cell);
      const isFailed =
        result.breaches.length > 0 || result.pending !== undefined || result.errors.length > 0;
      if (isFailed) {
        failed += 1;
        process.stdout.write(`FAILED ${replayCommand(cell)}\n`);
        result.breaches.forEach(({ promise, seen }) =>
          process.stdout.write(`   ${promise}: ${seen}\n`),
        );
        process.stdout.write(`   pending: ${result.pending ?? '-'}\n`);
        result.errors
          .slice(0, 2)
          .forEach((error) => process.stdout.write(`   ${String((error as Error).stack)}\n`));
      }
    }
  }
}
process.stdout.write(`${failed} cells failed\n`);
process.exitCode = failed > 0 ? 1 : 0;
