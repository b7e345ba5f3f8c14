import process from 'node:process';

import { Random } from '@apricothoist/common';
import { RandomCallFates, replayBounds } from '@apricothoist/testing';
import test from 'ava';

import { dataCentres, RegistryFaults } from './testing/RegistryFaults.js';
import { readSeeds } from './testing/readSeeds.js';
import { findOverlaps } from './testing/runChecks.js';
import { isTraced, queue, VirtualDeployment } from './testing/VirtualDeployment.js';

/** Seeds of the property test; RUN_SEEDS=FROM-TO plays others. */
const ciSeeds = [1, 2, 3, 18, 22, 27, 28, 29, 32, 51];
const registryCiSeeds = [1, 13, 20, 36, 53, 71, 80, 105, 124, 148, 180];
const chosenSeeds = readSeeds(process.env.RUN_SEEDS);

/** Milliseconds between two draws of faults. */
const faultIntervalMs = 100;
/** Milliseconds for which faults are drawn. */
const faultyMs = 25_000;
const heartbeatMs = 1_500;
const jobCount = 24;

type Period = readonly [min: number, max: number];

/** Probability of each fault per runner and interval, and its duration in milliseconds. */
const faults = {
  /** No heartbeat arrives, so that the entry expires. */
  unregistered: { rate: 0.008, durationMs: [500, 9_000] },
  /** Connections are refused, while the runner works on. */
  refusing: { rate: 0.008, durationMs: [300, 9_000] },
  /** Calls get no answer. */
  cut: { rate: 0.004, durationMs: [300, 9_000] },
  /** The runner is emptied and leaves, and comes back as another process. */
  draining: { rate: 0.015, durationMs: [2_000, 9_000] },
} as const satisfies Record<string, { readonly rate: number; readonly durationMs: Period }>;
type Fault = keyof typeof faults;
const takeOverRate = 0.02;
const overwriteRate = 0.002;
const downMs: Period = [500, 6_000];

/**
 * Draws jobs and faults around departures from a seed; returns what broke the invariants.
 *
 * @param hasRegistryFaults adds those of `RegistryFaults`, which leave the other draws as they are
 */
async function playSeed(
  seed: number,
  hasRegistryFaults: boolean,
  log: (line: string) => void,
): Promise<string[]> {
  const random = new Random(seed);
  const between = ([min, max]: Period): number => min + random.below(max - min);
  const fates = new RandomCallFates(random, {
    dropped: 0.02,
    answerLost: 0.02,
    late: 0.03,
    refused: 0.02,
  });
  const durations = new Map<string, number>();
  using deployment = new VirtualDeployment({
    runners: 5 + random.below(4),
    ...(hasRegistryFaults && { dataCentres }),
    queue: { ...queue, maxAttempts: 1_000 },
    decideFate: (call) => fates.decide(call),
    behave: ({ jobId }) => ({
      durationMs: durations.get(jobId) ?? 0,
      stopMs: between([10, replayBounds.stopMs]),
    }),
  });
  const { pool, registry, drainingRunners, refusingRunners, cutRunners } = deployment;
  const leaving = new Set<string>();
  const drain = (id: string, durationMs: number): void => {
    if (!drainingRunners.has(id)) {
      drainingRunners.add(id);
      if (hasRegistryFaults) {
        registryFaults.announce(id, durationMs);
      }
      write(id);
      setTimeout(() => leave(id), durationMs);
    }
  };
  const registryFaults = new RegistryFaults(deployment, seed, drain);
  const { unregistered } = registryFaults;
  const write = (id: string): void => {
    if (pool.get(id).isUp && !unregistered.has(id) && !leaving.has(id)) {
      registry.unreadableIds.delete(id);
      registry.write(id);
    }
  };
  const close = (id: string): void => {
    refusingRunners.add(id);
  };
  const endProcess = (id: string): void => {
    const runner = pool.get(id);
    pool.advance(deployment.now);
    runner.crash(deployment.now);
    drainingRunners.delete(id);
    if (hasRegistryFaults) {
      close(id);
    }
    setTimeout(() => {
      if (leaving.delete(id)) {
        refusingRunners.delete(id);
      }
      runner.restart(deployment.now, deployment.now);
      write(id);
    }, between(downMs));
  };
  // A runner that cannot reach the registry leaves its entry to expire.
  const removeEntry = (id: string): void => {
    if (!unregistered.has(id)) {
      registry.remove(id);
    }
  };
  const leave = (id: string): void => {
    if (hasRegistryFaults) {
      leaving.add(id);
      const steps = { close, remove: removeEntry, end: endProcess };
      registryFaults.leave((step) => steps[step](id));
    } else {
      endProcess(id);
      removeEntry(id);
    }
  };
  const addFor = (members: Set<string>, id: string, durationMs: number): void => {
    members.add(id);
    setTimeout(() => members.delete(id), durationMs);
  };
  const handlers: Record<Fault, (id: string, durationMs: number) => void> = {
    unregistered: (id, durationMs) => addFor(unregistered, id, durationMs),
    refusing: (id, durationMs) => addFor(refusingRunners, id, durationMs),
    cut: (id, durationMs) => addFor(cutRunners, id, durationMs),
    draining: drain,
  };
  const beginFaults = (): void => {
    pool.all
      .filter(({ isUp }) => isUp)
      .forEach(({ id }) => {
        Object.entries(faults).forEach(([fault, { rate, durationMs }]) => {
          if (random.fraction() < rate) {
            handlers[fault as Fault](id, between(durationMs));
          }
        });
        if (random.fraction() < overwriteRate) {
          registry.unreadableIds.add(id);
        }
      });
    if (random.fraction() < takeOverRate) {
      deployment.takeOver();
    }
    if (hasRegistryFaults) {
      registryFaults.begin();
    }
  };
  const heartbeats = pool.all.map(({ id }, index) => {
    write(id);
    return setInterval(() => write(id), heartbeatMs + index);
  });
  deployment.takeOver();
  for (let elapsedMs = 0; elapsedMs < faultyMs; elapsedMs += faultIntervalMs) {
    if (durations.size < jobCount && durations.size * faultyMs <= jobCount * elapsedMs * 2) {
      const id = (durations.size + 1).toString(16).padStart(16, '0');
      const declaredMs = between([500, 9_000]);
      durations.set(id, declaredMs);
      const count = 1 + random.below(4);
      deployment.submit(id, [{ count, declaredMs, isGang: count > 1 && random.below(2) === 0 }]);
    }
    beginFaults();
    await deployment.run(faultIntervalMs);
  }
  fates.isActive = false;
  const isCompleted = await deployment.runUntilCompleted(90_000);
  heartbeats.forEach((timer) => clearInterval(timer));
  const broken = [
    ...(isCompleted ? [] : ['not all jobs completed after the faults']),
    ...findOverlaps(pool.records),
    ...deployment.resignations.map((reason) => `resigned: ${reason}`),
  ];
  if (isTraced) {
    deployment.explain(broken).forEach(log);
  }
  return broken;
}

async function playSeeds(
  played: readonly number[],
  hasRegistryFaults: boolean,
  log: (line: string) => void,
): Promise<string[]> {
  const violations: string[] = [];
  for (const seed of played) {
    const broken = await playSeed(seed, hasRegistryFaults, log);
    violations.push(...broken.map((text) => `seed ${seed}: ${text}`));
  }
  return violations;
}

// A draining runner that is cut off may lose its entry like one that has left.
test.serial('runs never overlap while runners leave, are cut off and expire', async (t) => {
  t.deepEqual(await playSeeds(chosenSeeds ?? ciSeeds, false, (line) => t.log(line)), []);
});

// A listing may lack what is there, and show what another writer wrote.
test.serial('runs never overlap while listings lack entries and others write them', async (t) => {
  t.deepEqual(await playSeeds(chosenSeeds ?? registryCiSeeds, true, (line) => t.log(line)), []);
});
