import { writeFileSync } from 'node:fs';
import process from 'node:process';

import { messageOf } from '@apricothoist/common';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { SoakResult } from './runSeed.js';
import { runSeed } from './runSeed.js';

const options = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .usage(
    '$0\n\nRuns the real programs under random faults and checks what callers and runners see.',
  )
  .option('seeds', { type: 'number', default: 10, describe: 'number of seeds' })
  .option('first', { type: 'number', default: 1, describe: 'first seed' })
  .option('instances', { type: 'number', default: 4, describe: 'instances, each a process' })
  .option('runners', { type: 'number', default: 6, describe: 'runners' })
  .option('clients', { type: 'number', default: 6, describe: 'clients that submit jobs' })
  .option('seconds', { type: 'number', default: 12, describe: 'how long faults are injected' })
  .option('jobs', { type: 'number', default: 3, describe: 'seeds at a time' })
  .strict()
  .parseAsync();

let next = options.first;
let failures = 0;
const last = options.first + options.seeds - 1;

// A seed that cannot be played counts as broken, and does not end the others.
async function playSeed(seed: number): Promise<SoakResult> {
  const { instances, runners, clients, seconds } = options;
  try {
    return await runSeed({ seed, instances, runners, clients, faultMs: seconds * 1_000 });
  } catch (error) {
    const broken = [`not played: ${messageOf(error)}`];
    return { seed, faults: [], jobs: 0, accepted: 0, broken, logs: '' };
  }
}

async function work(): Promise<void> {
  while (next <= last) {
    const seed = next;
    next += 1;
    const result = await playSeed(seed);
    const verdict = result.broken.length === 0 ? 'ok' : 'BROKEN';
    console.log(
      `seed ${seed}: ${verdict}, ${result.accepted} of ${result.jobs} jobs accepted, ` +
        `faults ${result.faults.join(' ')}`,
    );
    if (result.broken.length > 0) {
      failures += 1;
      result.broken.forEach((line) => console.log(`  ${line}`));
      writeFileSync(`soak-${seed}.log`, result.logs);
    }
  }
}

await Promise.all(Array.from({ length: options.jobs }, work));
console.log(`${options.seeds} seeds, ${failures} with a broken promise`);
process.exitCode = failures > 0 ? 1 : 0;
