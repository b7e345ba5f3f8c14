import { performance } from 'node:perf_hooks';

import {
  createConfig,
  delay,
  hasTrouble,
  runCase,
  Verdict,
  waitUntil,
} from '../stand-ins-2/deployment.mjs';

/** How long one runner is cut off, and times after the start of the gang. */
const cutMs = 3_000;
const cutAfterMs = 500;
const failsMs = 2_000;
const stopAfterMs = 2_300;
const maxAttempts = 2;
const watchedMs = 20_000;
const jobId = '00000000000000ad';

const runners = Array.from({ length: 8 }, (_, index) => ({
  id: `w${index}`,
  service: 'lohnaabi',
  zone: `zone-${index % 2}`,
  kind: 'a',
  rack: `r${1 + Math.floor(index / 4)}`,
  capacity: { cpu: 32_000, memMb: 131_072, gpus: 8 },
  stopMs: 300,
}));

const config = createConfig({
  routes: [{ name: 'triage', prefix: '/triage/', priority: 0, maxAttempts }],
  tenants: [{ name: 'anna', apiKeys: ['key-anna'] }],
});

const phase = { count: 2, cpu: 3_700, memMb: 15_000, gpus: 8, estimateMs: 4_000, gang: true };

await runCase(import.meta.url, async (deployment) => {
  await deployment.start({ instances: 3, runners, config });
  const { holder } = deployment;
  const [first, second] = deployment.instances.filter((instance) => instance !== holder);
  const work = { ms: 4_000, failsMs, gang: phase.count };
  const reply = await deployment.submit(first, '/triage/', jobId, 'key-anna', work, phase);
  const runs = () => deployment.runsOf(`${jobId}.0.0.1`);
  await waitUntil('the gang runs', () => reply.status === 200 && runs().length > 0);
  if (hasTrouble) {
    const { startedAt, runner: id } = runs()[0];
    const after = (ms) => delay(startedAt + ms - performance.now());
    const runner = deployment.runners.find((each) => each.id === id);
    await after(cutAfterMs);
    runner.cut(true);
    await after(stopAfterMs);
    holder.child.kill('SIGTERM');
    deployment.record(`SIGTERM to ${holder.name}, the holder`);
    await after(cutAfterMs + cutMs);
    runner.cut(false);
  }
  const finalStates = ['completed', 'failed', 'cancelled'];
  let state;
  while (!finalStates.includes(state) && deployment.nowMs < reply.answeredAt + watchedMs) {
    await delay(500);
    const answer = await deployment.call(second, 'GET', `/triage/${jobId}`, 'key-anna');
    state = answer.body.state;
  }
  const failures = [0, 1].map(
    (index) =>
      deployment.runsOf(`${jobId}.0.0.${index}`).filter(({ how }) => how === 'failed').length,
  );
  const failed = Math.max(...failures);
  deployment.record(
    `job shown as ${state}; the gang was started ${runs().length} times, and no task failed more than ${failed} times`,
  );
  return state === 'failed' && failed < maxAttempts ? Verdict.broken : Verdict.held;
});
