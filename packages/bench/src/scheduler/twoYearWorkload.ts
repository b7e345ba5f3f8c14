import { ConfigurationBuilder } from '@apricothoist/config';

import type { Workload } from './Workload.js';
import type { JobKind } from './workloads.js';
import { configurationOf, hourMs, minuteMs, shape, toWorkload } from './workloads.js';

const dataCentreCount = 9;
const workersPerDataCentre = 88;
const workersPerRack = 11;
const acceleratorsPerWorker = 2;
const accountCount = 180;
const jobsPerDay = 1_200;

/**
 * The size to design for: 792 workers with 1,584 accelerators in nine data centres, 180 accounts,
 * 1,200 jobs a day, gangs up to 64 tasks.
 */
export function createTwoYear(days: number, seed: number): Workload {
  const names = Array.from({ length: dataCentreCount }, (_, index) => `dc-${index}`);
  const builder = new ConfigurationBuilder({
    name: 'two-year',
    region: 'north',
    dataCentres: names,
    completionWeight: 0.5,
  });
  names.forEach((name) => {
    builder.workers(name, {
      count: workersPerDataCentre,
      workersPerRack,
      cores: 30,
      memoryGb: 130,
      accelerators: acceleratorsPerWorker,
      guards: true,
    });
  });
  const kinds = Array.from({ length: accountCount }, (_, index) => {
    const dataCentre = names[index % dataCentreCount] ?? '';
    return addAccount(builder, `team-${index}`, dataCentre, Math.floor(index / dataCentreCount));
  }).flat();
  return toWorkload('two-year', configurationOf(builder), kinds, days, seed);
}

// The twenty accounts of a data centre differ in what they run: a few large, most small.
function addAccount(
  builder: ConfigurationBuilder,
  account: string,
  dataCentre: string,
  rank: number,
): JobKind[] {
  builder.account(account, { weight: 1, requestLimit: 50, acceleratorLimit: 176 });
  const perDay = jobsPerDay / accountCount;
  const place = { account, dataCentre, hours: [0, 24] as const, perDay };
  const hasGuarantee = rank < 8;
  if (hasGuarantee) {
    builder.guarantee(`${account}-shape`, {
      account,
      dataCentre,
      shape: shape(4, 2, true),
      count: 1,
    });
  }
  const byRank: JobKind[] = [
    {
      ...place,
      name: 'training',
      shape: shape(64, 1),
      urgency: 'batch',
      perDay: perDay / 8,
      meanRunMs: 6 * hourMs,
      burst: 1,
    },
    {
      ...place,
      name: 'matching',
      shape: shape(16, 2),
      urgency: 'batch',
      perDay: perDay / 3,
      meanRunMs: 6 * hourMs,
      burst: 1,
    },
    {
      ...place,
      name: 'gang',
      shape: shape(4, 2, true),
      urgency: 'normal',
      perDay: perDay * 0.7,
      meanRunMs: 6 * hourMs,
      burst: 1,
    },
    {
      ...place,
      name: 'triage',
      shape: shape(1, 1),
      urgency: 'urgent',
      perDay: perDay * 2,
      meanRunMs: 10 * minuteMs,
      burst: 2,
    },
    {
      ...place,
      name: 'single',
      shape: shape(2, 1),
      urgency: 'normal',
      perDay: perDay * 0.9,
      meanRunMs: 6 * hourMs,
      burst: 2,
    },
  ];
  return [byRank[rank < 1 ? 0 : 1 + (rank % 4)] as JobKind];
}
