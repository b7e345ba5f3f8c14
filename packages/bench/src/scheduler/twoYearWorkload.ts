import { ConfigurationBuilder } from '@apricothoist/config';

import type { Workload } from './Workload.js';
import type { JobTemplate } from './workloads.js';
import {
  parseBuiltConfiguration,
  hourMs,
  minuteMs,
  createShape,
  createWorkload,
} from './workloads.js';

const dataCentreCount = 9;
const workersPerDataCentre = 88;
const workersPerRack = 11;
const acceleratorsPerWorker = 2;
const accountCount = 180;
const jobsPerDay = 1_200;

/**
 * The two-year plan, the size that the system is designed for: 792 workers with 1,584
 * accelerators in nine data centres, 180 accounts, 1,200 jobs per day and gangs of up to 64 tasks.
 */
export function createTwoYearWorkload(days: number, seed: number): Workload {
  const dataCentreNames = Array.from({ length: dataCentreCount }, (_, index) => `dc-${index}`);
  const builder = new ConfigurationBuilder({
    name: 'two-year',
    region: 'north',
    dataCentres: dataCentreNames,
    completionWeight: 0.5,
  });
  dataCentreNames.forEach((name) => {
    builder.workers(name, {
      count: workersPerDataCentre,
      workersPerRack,
      cores: 30,
      memoryGb: 130,
      accelerators: acceleratorsPerWorker,
      guards: true,
    });
  });
  const templates = Array.from({ length: accountCount }, (_, index) => {
    const dataCentre = dataCentreNames[index % dataCentreCount] ?? '';
    return addAccount(builder, `team-${index}`, dataCentre, Math.floor(index / dataCentreCount));
  }).flat();
  return createWorkload('two-year', parseBuiltConfiguration(builder), templates, days, seed);
}

// The rank of an account among the twenty of its data centre decides which kind of job it runs: a few
// accounts run large gangs, most run small jobs.
function addAccount(
  builder: ConfigurationBuilder,
  account: string,
  dataCentre: string,
  rank: number,
): JobTemplate[] {
  builder.account(account, { weight: 1, requestLimit: 50, acceleratorLimit: 176 });
  const perDay = jobsPerDay / accountCount;
  const common = { account, dataCentre, hours: [0, 24] as const, perDay };
  const hasGuarantee = rank < 8;
  if (hasGuarantee) {
    builder.guarantee(`${account}-shape`, {
      account,
      dataCentre,
      shape: createShape(4, 2, true),
      count: 1,
    });
  }
  const templatesBySize: JobTemplate[] = [
    {
      ...common,
      name: 'training',
      shape: createShape(64, 1),
      urgency: 'batch',
      perDay: perDay / 8,
      meanRunMs: 6 * hourMs,
      burst: 1,
    },
    {
      ...common,
      name: 'matching',
      shape: createShape(16, 2),
      urgency: 'batch',
      perDay: perDay / 3,
      meanRunMs: 6 * hourMs,
      burst: 1,
    },
    {
      ...common,
      name: 'gang',
      shape: createShape(4, 2, true),
      urgency: 'normal',
      perDay: perDay * 0.7,
      meanRunMs: 6 * hourMs,
      burst: 1,
    },
    {
      ...common,
      name: 'triage',
      shape: createShape(1, 1),
      urgency: 'urgent',
      perDay: perDay * 2,
      meanRunMs: 10 * minuteMs,
      burst: 2,
    },
    {
      ...common,
      name: 'single',
      shape: createShape(2, 1),
      urgency: 'normal',
      perDay: perDay * 0.9,
      meanRunMs: 6 * hourMs,
      burst: 2,
    },
  ];
  return [templatesBySize[rank < 1 ? 0 : 1 + (rank % 4)] as JobTemplate];
}
