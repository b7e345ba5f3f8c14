import { findOverlaps } from '../stand-ins/checks.mjs';
import { runCase, smallBounds } from '../stand-ins/Deployment.mjs';
import { delay } from '../stand-ins/http.mjs';

const zones = ['zone-a', 'zone-b'];
const prefix = '/jobs/';
const id = '5c0e7a21d94b36f8';
/** Length of the task, which is at work well beyond the cut. */
const durationMs = 11_000;
/** Of which one is emptied and taken away. */
const runnerCount = 16;
const drainAtMs = 3_500;
/** The cut comes shortly before the runner's next heartbeat, which follows the drain by 1,500 ms. */
const cutAfterDrainMs = 1_350;
const cutMs = 5_400;
/** The runner stays for many seconds after the drain, until its task has ended. */
const leaveAfterMs = 14_000;
/** As on the sheet of the deployment, whose machines have links of 7 to 140 Mbit/s. */
const linkMbps = 14;
const bounds = {
  ...smallBounds,
  contactMs: 4_000,
  ackMs: 6_000,
  catchUpS: 6,
  drainMs: 3_000,
  configApplyMs: 3_000,
  maxSkewMs: 6_000,
  recoveryS: 15,
  maxHoldMs: 10_000,
  stopMs: 200,
  gangTimeoutMs: 4_000,
  cancel_ms: 4_000,
  checkpointIntervalS: 1,
  restoreMs: 100,
  noticeMs: 5_500,
  harmMs: 4_500,
  reclaimMs: 2_700,
};
const capacity = { cpu: 32_000, memMb: 131_072, gpus: 8 };

async function play(deployment, isTroubled) {
  const { record, store } = deployment;
  deployment.configure({
    routes: [
      {
        name: 'batch',
        host: 'jobs.example',
        prefix,
        kind: 'non_idempotent',
        timeoutMs: 3_000,
        targetLatencyMs: 1_000,
        priority: 1,
        service: 'workers',
        maxAttempts: 4,
        stretch: 3,
      },
    ],
    services: [{ name: 'workers', admissionCheck: true }],
  });
  const runners = [];
  for (let index = 0; index < runnerCount; index += 1) {
    runners.push(
      await deployment.addRunner({
        id: `runner-${index}`,
        service: 'workers',
        zone: zones[index % zones.length],
        labels: ['kind', `rack-${index}`],
        capacity,
      }),
    );
  }
  const [leaving] = runners;
  const cutOff = runners.filter(({ zone }) => zone === 'zone-a');
  // The first instance becomes the holder; it is in the zone that is cut off.
  const inZone = await deployment.addInstance('front-a-1', 'zone-a', zones);
  await deployment.waitForHolder();
  const outside = await deployment.addInstance('front-b-1', 'zone-b', zones);
  await deployment.addInstance('front-b-2', 'zone-b', zones);
  record(`holder is ${deployment.holder?.name}`);
  const submittedAt = Date.now();
  await deployment.request(outside, 'POST', `${prefix}${id}`, {
    spec: JSON.stringify({ durationMs, gpus: 8 }),
    phases: [
      { count: 1, cpu: 4_000, memMb: 1_024, gpus: 8, estimateMs: 11_000, affinity: 'rack-0' },
    ],
  });
  await delay(submittedAt + drainAtMs - Date.now());
  leaving.drain();
  await delay(cutAfterDrainMs);
  if (isTroubled) {
    record('zone-a is cut off: new connections across its border are refused');
    // Only the holder in the zone has connections to its runners; inside the zone they stay.
    cutOff.forEach((runner) => {
      runner.hasRegistry = false;
      runner.refuseNewConnections();
    });
    await inZone.view.refuse();
  }
  await delay(cutMs);
  if (isTroubled) {
    record('zone-a is connected again');
    await inZone.view.restore();
    for (const runner of cutOff) {
      await runner.openListener();
      runner.hasRegistry = true;
      runner.beat();
    }
  }
  await delay(submittedAt + leaveAfterMs - Date.now());
  leaving.leave();
  await delay(6_000);
  await deployment.request(outside, 'GET', `${prefix}${id}`);
  record(`revision of the store: ${store.revision}`);
  return findOverlaps(deployment.observed);
}

await runCase(import.meta.url, { linkMbps, bounds }, play);
