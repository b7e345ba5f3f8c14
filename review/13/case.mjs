/** A task that lasts and needs no accelerator, whose runner crashes while urgent work holds all of them. */
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

import { call, crash, Deployment, route, runCase } from '../stand-ins-3/Deployment.mjs';

const racks = Array.from({ length: 8 }, (_, index) => `r${Math.floor(index / 4)}`);
const accelerators = racks.length * 8;
const downMs = 700;
const batchMs = 60_000;
const urgentMs = 20_000;
/** Tasks of urgent jobs that keep all accelerators occupied for this many times their work. */
const urgentWaves = 2;
/** Time from the crash until the task that lasts has to run again: see claim.txt. */
const lastingMs = 10_000;
const lastingJob = '5c0e7a21d94b36f8';
const routes = [
  route('urgent', 0, 2, '/urgent/'),
  route('service', 1, 4, '/service/'),
  route('batch', 2, 3, '/batch/'),
];
const jobId = (index) => (0x6d_1f_8b_32 + index).toString(16).padStart(16, '0');

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, isTroubled) => {
  const tenants = [{ name: 'anna', apiKeys: ['key'], guaranteed: { gpus: accelerators } }];
  const deployment = new Deployment(record, routes, tenants);
  try {
    await deployment.start(3, racks, { countsTasks: false });
    await delay(4_500);
    const [instance] = deployment.instances;
    const submit = async (target, phase, durationMs) => {
      const body = { spec: JSON.stringify({ durationMs, gangSize: 1 }), phases: [phase] };
      const { status } = await call(instance, 'POST', target, { body });
      record.write(`POST ${target}: ${status}`);
      if (status !== 200) {
        throw new Error('a job was not accepted');
      }
    };
    const task = { cpu: 500, memMb: 256, estimateMs: 10_000, persistent: true };
    await submit(`/service/${lastingJob}`, { ...task, count: 1 }, 600_000);
    await delay(1_000);
    const work = { count: accelerators, cpu: 3_700, memMb: 15_000, gpus: 1 };
    await submit(`/batch/${jobId(0)}`, { ...work, estimateMs: batchMs }, batchMs);
    await delay(1_000);
    for (let wave = 0; wave < urgentWaves; wave += 1) {
      const phase = { ...work, estimateMs: urgentMs };
      await submit(`/urgent/${jobId(1 + wave)}`, phase, urgentMs);
    }
    await delay(3_000);
    const runsOfLasting = () =>
      deployment.observedRuns.filter(({ task: name }) => name.startsWith(lastingJob));
    const runnerId = runsOfLasting().at(-1)?.runner;
    const runner = deployment.runners[Number(runnerId?.split('-')[1])];
    if (runner === undefined) {
      throw new Error('the task that lasts does not run');
    }
    const crashedAt = Date.now();
    if (isTroubled) {
      crash(runner);
      record.write(`${runnerId} crashes`);
      await delay(downMs);
      runner.restart();
      runner.register(deployment.store, 'ready');
      record.write(`${runnerId} is back`);
    }
    await delay(Math.max(0, crashedAt + 30_000 - Date.now()));
    const used = deployment.runners.map(({ tasks }) => tasks.length).join(' ');
    record.write(`tasks on the runners: ${used}`);
    deployment.writeRuns();
    const wasAtWork = runsOfLasting().some(
      ({ startedAt, endedAt }) =>
        startedAt <= crashedAt + lastingMs && (endedAt === 0 || endedAt > crashedAt + lastingMs),
    );
    return wasAtWork ? [] : ['LOST: the task that lasts has not run for 10 s, 7 s of them calm'];
  } finally {
    await deployment.dispose();
  }
});
