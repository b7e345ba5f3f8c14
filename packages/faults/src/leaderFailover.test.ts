import test from 'ava';

import { faultKinds } from './faultKinds.js';
import { flows } from './flows.js';
import { VirtualSimulation } from './VirtualSimulation.js';

// Guards against running tasks losing their leases when their scheduling instance fails or pauses or
// the store becomes unavailable, at any moment between two lease renewals.

const seed = 1;
const offsetStepMs = 230;
const offsetCount = 10;
const observationMs = 20_000;
const faultNames = ['leader killed', 'leader paused past its lease', 'store down'];

faultNames.forEach((name) => {
  for (let index = 0; index < offsetCount; index += 1) {
    const offsetMs = index * offsetStepMs;
    test.serial(
      `a running gang keeps running: ${name}, ${offsetMs} ms after its start`,
      async (t) => {
        const flow = flows.find((candidate) => candidate.name === 'gang run');
        const fault = faultKinds.find((candidate) => candidate.name === name);
        await using simulation = new VirtualSimulation(seed);
        await simulation.start();
        await flow?.prepare(simulation);
        await simulation.run(offsetMs);
        fault?.inject(simulation);
        await simulation.run(observationMs);
        fault?.heal(simulation);
        const runs = [...simulation.workers.values()].flatMap((worker) => {
          worker.advance(simulation.now);
          return worker.runs;
        });
        t.is(new Set(runs.map((run) => run.attemptId)).size, 1);
        t.true(runs.every((run) => run.endedAt === undefined));
      },
    );
  }
});
