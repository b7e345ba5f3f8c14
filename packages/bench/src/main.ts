import process from 'node:process';

import { runCapacityBench } from './capacity/capacityBench.js';
import { runDispatchBench } from './dispatch/dispatchBench.js';
import { runRouterBench } from './router/routerBench.js';
import { runSchedulerBench } from './scheduler/schedulerBench.js';

type Bench = (print: (text: string) => void) => void | Promise<void>;

/** The benchmarks by their names on the command line. */
const benches: Readonly<Record<string, Bench>> = {
  router: runRouterBench,
  scheduler: runSchedulerBench,
  dispatch: runDispatchBench,
  capacity: runCapacityBench,
};

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

const requestedName = process.argv[2];
const selectedNames = requestedName === undefined ? Object.keys(benches) : [requestedName];
for (const name of selectedNames) {
  const bench = benches[name];
  if (bench === undefined) {
    print(`unknown benchmark "${name}"; available: ${Object.keys(benches).join(', ')}`);
    process.exitCode = 2;
  } else {
    await bench(print);
  }
}
