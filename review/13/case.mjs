/** A job whose first starts meet two runners that have just been cut off, and that are sound afterwards. */
import { setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

import { call, Deployment, prefix, route, runCase } from '../stand-ins-3/Deployment.mjs';
import { findGaps } from '../stand-ins-3/findGaps.mjs';

/** 14 runners, two a rack; the two of one rack are cut off. */
const racks = Array.from({ length: 14 }, (_, index) => `r${Math.floor(index / 2)}`);
const cutRack = 'r3';
const cutMs = 5_500;
/** Time from the begin of the cut until the job is submitted. */
const submitMs = 50;
const workMs = 2_500;
/** Time after the end of the traffic from which jobs are asked for. */
const finishMs = 14_000;
const watchMs = 30_000;
/** Longest time for which nothing of the job may run. */
const idleMs = 3_000;
/** Time after the cut by which the tasks that last have to run again. */
const lastingMs = 12_000;
const lastingJob = '6d1f8b32ea5c4709';
const job = '5c0e7a21d94b36f8';

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, isTroubled) => {
  const tenants = [{ name: 'anna', apiKeys: ['key'], guaranteed: { gpus: 16 } }];
  const deployment = new Deployment(record, [route('queue', 0, 2)], tenants);
  try {
    await deployment.start(3, racks);
    await delay(4_500);
    const [instance] = deployment.instances;
    const submit = async (id, phase, durationMs) => {
      const body = {
        spec: JSON.stringify({ durationMs, gangSize: 1 }),
        phases: [{ cpu: 3_700, memMb: 15_000, gpus: 1, constraints: cutRack, ...phase }],
      };
      const { status } = await call(instance, 'POST', `${prefix}${id}`, { body });
      record.write(`POST ${id}: ${status}`);
      if (status !== 200) {
        throw new Error('a job was not accepted');
      }
    };
    // One task that lasts on each of the two runners.
    await submit(lastingJob, { count: 2, antiAffinity: 1, persistent: true }, 600_000);
    await delay(4_000);
    const cut = deployment.runners.filter((_, index) => racks[index] === cutRack);
    let backAt = Date.now();
    const setCut = (isCut) => {
      backAt = Date.now();
      cut.forEach((runner) => {
        runner.isUnresponsive = isCut;
      });
      record.write(`${cut.length} of ${racks.length} runners are ${isCut ? 'cut off' : 'back'}`);
    };
    if (isTroubled) {
      setCut(true);
      setTimeout(setCut, cutMs, false);
    }
    await delay(submitMs);
    await submit(job, { count: 14, estimateMs: workMs }, workMs);
    const trafficEndedAt = Date.now();
    let state = '';
    const until = trafficEndedAt + finishMs + watchMs;
    while (state !== 'completed' && Date.now() < until) {
      const answer = await call(instance, 'GET', `${prefix}${job}`);
      const seen = answer.status === 200 ? answer.body.state : `status ${answer.status}`;
      if (seen !== state) {
        state = seen;
        record.write(`GET ${job}: ${state}`);
      }
      await delay(100);
    }
    const endedAt = Date.now();
    // contactMs after the cut, 4 s and 3 s of calm, and 9 s after the last run.
    await delay(Math.max(0, backAt + lastingMs + 500 - Date.now()));
    const used = deployment.runners.map(({ tasks }) => tasks.length).join(' ');
    record.write(`tasks on the runners at the end: ${used}`);
    deployment.writeRuns();
    const ownRuns = deployment.observedRuns.filter(({ task }) => task.startsWith(job));
    const seconds = (time) => ((time - record.startedAt) / 1_000).toFixed(3);
    const idleLasting = [0, 1].filter(
      (index) =>
        !deployment.observedRuns.some(
          ({ task, startedAt, endedAt: runEndedAt }) =>
            task === `${lastingJob}.0.0.${index}` &&
            startedAt <= backAt + lastingMs &&
            (runEndedAt === 0 || runEndedAt > backAt + lastingMs),
        ),
    );
    const gaps = findGaps(
      ownRuns,
      trafficEndedAt + finishMs,
      Math.max(endedAt, trafficEndedAt),
    ).filter(({ from, until: to }) => to - from >= idleMs);
    return [
      ...gaps.map(
        ({ from, until: to }) =>
          `LOST: nothing of ${job} runs from ${seconds(from)} to ${seconds(to)}, with room for all ` +
          'of it on two sound runners',
      ),
      ...idleLasting.map(
        (index) => `LOST: ${lastingJob}.0.0.${index} lasts and does not run 12 s after the cut`,
      ),
    ];
  } finally {
    await deployment.dispose();
  }
});
