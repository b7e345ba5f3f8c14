import { delay } from '@apricothoist/common';
import { Adjacency, ConfigurationBuilder, parseConfiguration, Urgency } from '@apricothoist/config';
import type { EntryInstance } from '@apricothoist/demo';
import { Deployment } from '@apricothoist/demo';

import { readProcessUsage } from './processUsage.js';

/** Size of a measured deployment: at most one data centre of the two-year plan. */
export interface DeploymentSize {
  readonly instances: number;
  readonly workers: number;
}

/** Control-plane cost: memory and rates per second, each the maximum over all instances. */
export interface ControlPlaneCost {
  readonly size: DeploymentSize;
  /** Fraction of one core. */
  readonly processorShare: number;
  readonly memoryMb: number;
  readonly meshBytes: number;
  readonly storeCalls: number;
}

interface UsageSample {
  readonly processorMs: number;
  readonly memoryMb: number;
  readonly meshBytes: number;
  readonly storeCalls: number;
}

/** Time in milliseconds from when all workers are busy until the measurement starts. */
const settleMs = 14_000;
const measureMs = 10_000;
const startTimeoutMs = 60_000;
const accelerators = 2;
const workersPerRack = 11;
const accountCount = 20;

/** Measures a deployment over a fixed period while one job keeps all workers busy. */
export async function measureDeployment(size: DeploymentSize): Promise<ControlPlaneCost> {
  const configurationText = createConfigurationText(size);
  const configuration = parseConfiguration(configurationText, 'capacity')._unsafeUnwrap();
  await using deployment = new Deployment(configuration, {
    dataCentres: ['a'],
    instancesPerDataCentre: size.instances,
    endpointsPerDataCentre: 4,
    serviceMs: 20,
    runMs: 10 * startTimeoutMs,
    balancerLagMs: 100,
  });
  await deployment.start();
  const [first] = deployment.instances as [EntryInstance];
  const configurationFile = await deployment.writeTemporaryFile('capacity.ini', configurationText);
  await deployment.runCommand(
    first,
    'apply',
    configurationFile,
    '--expect',
    '0',
    '--reason',
    'capacity',
  );
  await deployment.runCommand(first, 'submit', 'wide');
  await Deployment.waitUntil(() => hasRunningAttempt(first), 'all workers busy', startTimeoutMs);
  await delay(settleMs);
  const before = await Promise.all(deployment.instances.map(readUsage));
  await delay(measureMs);
  const after = await Promise.all(deployment.instances.map(readUsage));
  const rate = (pick: (value: UsageSample) => number): number =>
    Math.max(...after.map((value, index) => pick(value) - pick(before[index] as UsageSample))) /
    (measureMs / 1_000);
  return {
    size,
    processorShare: rate((value) => value.processorMs) / 1_000,
    memoryMb: Math.max(...after.map((value) => value.memoryMb)),
    meshBytes: rate((value) => value.meshBytes),
    storeCalls: rate((value) => value.storeCalls),
  };
}

async function hasRunningAttempt(instance: EntryInstance): Promise<boolean> {
  const response = await fetch(`${instance.operatorUrl}/v1/jobs`);
  const { plans } = (await response.json()) as { plans: { attempts: { state: string }[] }[] };
  return plans.some((plan) => plan.attempts.some((attempt) => attempt.state === 'running'));
}

async function readUsage(instance: EntryInstance): Promise<UsageSample> {
  const response = await fetch(`${instance.operatorUrl}/v1/status`);
  const status = (await response.json()) as {
    meshBytesSent: number;
    meshBytesReceived: number;
    storeCalls: number;
  };
  return {
    ...readProcessUsage(instance.process.pid ?? 0),
    meshBytes: status.meshBytesSent + status.meshBytesReceived,
    storeCalls: status.storeCalls,
  };
}

function createConfigurationText(size: DeploymentSize): string {
  const builder = new ConfigurationBuilder({
    name: 'capacity',
    region: 'north',
    dataCentres: ['a'],
    completionWeight: 0.5,
  });
  Array.from({ length: accountCount }, (_, index) =>
    builder.account(`team-${index}`, { weight: 1, requestLimit: 50, acceleratorLimit: 10_000 }),
  );
  return builder
    .service('service', {
      endpointSlots: 8,
      endpointConnections: 60,
      maxBodyBytes: 10_000,
      maxHeaderBytes: 10_000,
      timeoutMs: 1_000,
      retryPercent: 20,
    })
    .workers('a', {
      count: size.workers,
      workersPerRack,
      cores: 30,
      memoryGb: 130,
      accelerators,
      guards: true,
    })
    .job('wide', {
      account: 'team-0',
      dataCentre: 'a',
      shape: {
        workers: size.workers,
        acceleratorsPerWorker: accelerators,
        adjacency: Adjacency.any,
      },
      urgency: Urgency.batch,
      expectedMinutes: 60,
    })
    .print();
}
