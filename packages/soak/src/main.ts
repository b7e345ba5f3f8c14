import { writeFileSync } from 'node:fs';
import path from 'node:path';
import process from 'node:process';

import { messageOf } from '@apricothoist/common';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { SoakResult } from './runSeed.js';
import { runSeed } from './runSeed.js';

const options = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .usage(
    '$0\n\nRuns the real programs under random faults and checks what clients and runners observe.',
  )
  .option('seeds', { type: 'number', default: 10, describe: 'number of seeds to run' })
  .option('first', { type: 'number', default: 1, describe: 'first seed' })
  .option('instances', {
    type: 'number',
    default: 4,
    describe: 'number of instances, each in its own process',
  })
  .option('runners', { type: 'number', default: 6, describe: 'number of runners' })
  .option('clients', { type: 'number', default: 6, describe: 'number of clients that submit jobs' })
  .option('seconds', {
    type: 'number',
    default: 12,
    describe: 'seconds during which faults are injected',
  })
  .option('calls', {
    type: 'boolean',
    default: true,
    describe: 'also inject faults of calls to runners; --no-calls runs a seed as before them',
  })
  .option('crashes', {
    type: 'boolean',
    default: false,
    describe: 'also play tasks that crash their runners',
  })
  .option('capacity', {
    type: 'boolean',
    default: false,
    describe: 'also change the capacity of runners; those of odd seeds do not guard it',
  })
  .option('departures', {
    type: 'boolean',
    default: false,
    describe: 'also let runners leave, and cut draining runners off until their entries expire',
  })
  .option('odd', {
    type: 'boolean',
    default: false,
    describe: 'also leave odd records in the store, as another writer may',
  })
  .option('failures', {
    type: 'boolean',
    default: false,
    describe: 'also play jobs whose first runs fail by their own fault',
  })
  .option('impatient', {
    type: 'boolean',
    default: false,
    describe: 'also play clients that cancel before their submission is answered',
  })
  .option('logs', { type: 'string', default: '.', describe: 'directory for logs of failed seeds' })
  .option('jobs', { type: 'number', default: 3, describe: 'seeds that run concurrently' })
  .strict()
  .parseAsync();

let nextSeed = options.first;
let failedSeeds = 0;
const lastSeed = options.first + options.seeds - 1;

// A seed whose run throws counts as failed and does not abort the other seeds.
async function runSeedOrReport(seed: number): Promise<SoakResult> {
  const { instances, runners, clients, seconds } = options;
  const { calls: disruptsCalls, crashes: crashesRunners, capacity: changesCapacity } = options;
  const { departures: departsRunners, odd: leavesOddRecords } = options;
  const { failures: failsRuns, impatient: cancelsEarly } = options;
  const faultMs = seconds * 1_000;
  try {
    return await runSeed({
      seed,
      instances,
      runners,
      clients,
      faultMs,
      disruptsCalls,
      crashesRunners,
      changesCapacity,
      departsRunners,
      leavesOddRecords,
      failsRuns,
      cancelsEarly,
    });
  } catch (error) {
    const violations = [`run aborted: ${messageOf(error)}`];
    return { seed, faults: [], jobs: 0, accepted: 0, violations, logs: '' };
  }
}

async function processSeeds(): Promise<void> {
  while (nextSeed <= lastSeed) {
    const seed = nextSeed;
    nextSeed += 1;
    const result = await runSeedOrReport(seed);
    const outcome = result.violations.length === 0 ? 'ok' : 'FAILED';
    console.log(
      `seed ${seed}: ${outcome}, ${result.accepted} of ${result.jobs} jobs accepted, ` +
        `faults ${result.faults.join(' ')}`,
    );
    if (result.violations.length > 0) {
      failedSeeds += 1;
      result.violations.forEach((line) => console.log(`  ${line}`));
      writeFileSync(path.join(options.logs, `soak-${seed}.log`), result.logs);
    }
  }
}

await Promise.all(Array.from({ length: options.jobs }, processSeeds));
console.log(`${options.seeds} seeds, ${failedSeeds} with violated invariants`);
process.exitCode = failedSeeds > 0 ? 1 : 0;
