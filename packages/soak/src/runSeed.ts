import { delay, Random } from '@apricothoist/common';
import type { InstanceProcess } from '@apricothoist/site/testing';
import { TestDeployment, StoreMode } from '@apricothoist/site/testing';

import type { Fault } from './faults.js';
import { faults } from './faults.js';
import { JobClients } from './JobClients.js';

export interface SoakOptions {
  readonly seed: number;
  readonly instances: number;
  readonly runners: number;
  readonly clients: number;
  /** How long faults are injected. */
  readonly faultMs: number;
}

export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly broken: readonly string[];
  /** Logs of all instances, if a promise was broken. */
  readonly logs: string;
}

/** Faults that may be under way at the same time. */
const overlapping = 2;
/** Milliseconds after which a process that has ended is started again, as the platform does. */
const restartMs = 200;
/** Longest time until every accepted job is done once all faults are healed. */
const settleMs = 30_000;
const maxAttempts = 3;

/** Plays one seed: real processes under load, with faults in series that overlap. */
export async function runSeed(options: SoakOptions): Promise<SoakResult> {
  const random = new Random(options.seed);
  const storeRandom = new Random(options.seed + 1);
  await using site = new TestDeployment(() => storeRandom.fraction());
  await site.start(options.instances, options.runners);
  const clients = new JobClients(site, new Random(options.seed + 2));
  clients.start(options.clients);
  const supervisor = setInterval(() => site.instances.forEach((each) => each.start()), restartMs);
  const played: string[] = [];
  const endBy = Date.now() + options.faultMs;
  const series = async (): Promise<void> => {
    while (Date.now() < endBy) {
      const name = random.pick(Object.keys(faults));
      played.push(name);
      await (faults[name] as Fault)({ site, random });
      await delay(random.below(800));
    }
  };
  await Promise.all(Array.from({ length: overlapping }, series));
  site.store.mode = StoreMode.up;
  await clients.stop();
  const broken = [...clients.broken, ...(await checkReady(site))];
  broken.push(...(await checkJobs(site, clients)));
  broken.push(...site.findInvariantViolations());
  clearInterval(supervisor);
  return {
    seed: options.seed,
    faults: played,
    jobs: clients.jobs.length,
    accepted: clients.jobs.filter((job) => job.isAccepted).length,
    broken,
    logs: broken.length > 0 ? site.logs : '',
  };
}

async function checkReady(site: TestDeployment): Promise<string[]> {
  const results = await Promise.allSettled(
    site.instances.map((instance) => site.waitUntilReady(instance)),
  );
  return results.flatMap((result, index) => {
    const instance = site.instances[index];
    const end = instance?.isAlive === true ? 'alive' : `ended with ${instance?.exitCode}`;
    return result.status === 'fulfilled' ? [] : [`${instance?.name}: not ready after all, ${end}`];
  });
}

async function checkJobs(site: TestDeployment, clients: JobClients): Promise<string[]> {
  const broken: string[] = [];
  const [instance] = site.instances as [InstanceProcess];
  const endBy = Date.now() + settleMs;
  const finalStates = ['completed', 'failed', 'cancelled'];
  for (const job of clients.jobs) {
    const runs = site.observedRuns.filter(({ task }) => task.startsWith(job.id));
    if (job.isRefused && runs.length > 0) {
      broken.push(`${job.id}: refused, and it ran`);
    }
    if (!job.isAccepted) {
      continue;
    }
    const leftMs = Math.max(0, endBy - Date.now());
    const state = await site.waitForState(instance, job.id, finalStates, leftMs);
    const failed = runs.filter(({ how }) => how === 'failed').length;
    const isExcused =
      (state === 'failed' && failed >= maxAttempts) || (state === 'cancelled' && job.isCancelled);
    if (state !== 'completed' && !isExcused) {
      broken.push(`${job.id}: accepted, and ${state} in the end`);
    }
  }
  await delay(200);
  site.runners.forEach((runner) => {
    runner.tasks.forEach((task) => {
      const job = clients.jobs.find(({ id }) => task.startsWith(id));
      if (job?.isCancelled === true) {
        broken.push(`${task}: runs on although its job was cancelled`);
      }
    });
  });
  return broken;
}
