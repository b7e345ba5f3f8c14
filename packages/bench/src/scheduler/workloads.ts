import { Random } from '@apricothoist/common';
import type { Configuration, ConfigurationBuilder } from '@apricothoist/config';
import { Adjacency, parseConfiguration } from '@apricothoist/config';
import { listarama, tallinn } from '@apricothoist/examples';
import type { Shape } from '@apricothoist/scheduler';

import type { ListedJob, Workload } from './Workload.js';
import { createWorkers } from './Workload.js';

export const minuteMs = 60_000;
export const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** A kind of job in a list. */
export interface JobKind {
  readonly name: string;
  readonly account: string;
  readonly dataCentre: string;
  readonly shape: Shape;
  readonly urgency: ListedJob['urgency'];
  readonly perDay: number;
  readonly meanRunMs: number;
  /** Hours of the day in which the jobs arrive. */
  readonly hours: readonly [number, number];
  /** Jobs that arrive together. */
  readonly burst: number;
  /** Hours after submission by which the job should be done. */
  readonly finishWithinHours?: number;
}

export function shape(workers: number, acceleratorsPerWorker: number, isAdjacent = false): Shape {
  const adjacency = isAdjacent ? Adjacency.rack : Adjacency.any;
  return { workers, acceleratorsPerWorker, adjacency };
}

function createJobs(kinds: readonly JobKind[], days: number, seed: number): ListedJob[] {
  const random = new Random(seed);
  const jobs = kinds.flatMap((kind) => createJobsOf(kind, days, random));
  return jobs.sort((left, right) => left.submitAt - right.submitAt);
}

function createJobsOf(kind: JobKind, days: number, random: Random): ListedJob[] {
  const [from, until] = kind.hours;
  const bursts = Math.max(1, Math.round((kind.perDay * days) / kind.burst));
  return Array.from({ length: bursts }, (_, burst) => {
    const day = Math.floor((burst * days) / bursts);
    const submitAt = day * dayMs + (from + random.fraction() * (until - from)) * hourMs;
    return Array.from({ length: kind.burst }, (__, index) =>
      createJob(kind, `${kind.account}-${kind.name}-${burst}-${index}`, submitAt, random),
    );
  }).flat();
}

function createJob(kind: JobKind, id: string, submitAt: number, random: Random): ListedJob {
  const runMs = Math.max(10_000, random.exponential(kind.meanRunMs));
  const error = 10 ** (2 * random.fraction() - 1);
  const { name, account, dataCentre, urgency, finishWithinHours } = kind;
  return {
    id,
    name,
    account,
    dataCentre,
    shape: kind.shape,
    urgency,
    submitAt,
    runMs,
    declaredMs: runMs * error,
    ...(finishWithinHours === undefined ? {} : { finishBy: submitAt + finishWithinHours * hourMs }),
  };
}

export function toWorkload(
  name: string,
  configuration: Configuration,
  kinds: readonly JobKind[],
  days: number,
  seed: number,
): Workload {
  return {
    name,
    configuration,
    workers: createWorkers(configuration),
    jobs: createJobs(kinds, days, seed),
  };
}

export function configurationOf(builder: ConfigurationBuilder): Configuration {
  return parseConfiguration(builder.print(), 'workload')._unsafeUnwrap();
}

/** Odour triage by day, network matching by night, planning and research at any time. */
export function createTallinn(days: number, seed: number): Workload {
  const place = { dataCentre: 'kesklinn' };
  const anyTime = [0, 24] as const;
  const kinds: JobKind[] = [
    {
      ...place,
      name: 'triage-model',
      account: 'hotline',
      shape: shape(1, 2),
      urgency: 'urgent',
      perDay: 120,
      meanRunMs: 4 * minuteMs,
      hours: anyTime,
      burst: 3,
    },
    {
      ...place,
      name: 'matching',
      account: 'network',
      shape: shape(4, 8, true),
      urgency: 'batch',
      perDay: 2,
      meanRunMs: 4 * hourMs,
      hours: [20, 22],
      burst: 1,
      finishWithinHours: 10,
    },
    {
      ...place,
      name: 'district',
      account: 'network',
      shape: shape(2, 8, true),
      urgency: 'normal',
      perDay: 8,
      meanRunMs: 2 * hourMs,
      hours: anyTime,
      burst: 1,
    },
    {
      ...place,
      name: 'pressure',
      account: 'planning',
      shape: shape(1, 4),
      urgency: 'normal',
      perDay: 60,
      meanRunMs: hourMs,
      hours: [7, 19],
      burst: 2,
    },
    {
      ...place,
      name: 'survey',
      account: 'planning',
      shape: shape(1, 3),
      urgency: 'normal',
      perDay: 60,
      meanRunMs: 40 * minuteMs,
      hours: anyTime,
      burst: 4,
    },
    {
      ...place,
      name: 'study',
      account: 'research',
      shape: shape(4, 8),
      urgency: 'batch',
      perDay: 8,
      meanRunMs: 3 * hourMs,
      hours: anyTime,
      burst: 2,
    },
    {
      ...place,
      name: 'sweep',
      account: 'research',
      shape: shape(1, 1),
      urgency: 'batch',
      perDay: 120,
      meanRunMs: hourMs,
      hours: anyTime,
      burst: 20,
    },
  ];
  return toWorkload('tallinn', configurationOf(tallinn), kinds, days, seed);
}

/** Cut plans at the counter by day, photo estimates by night, catalogues at any time. */
export function createListarama(days: number, seed: number): Workload {
  const place = { dataCentre: 'cr-central-a' };
  const anyTime = [0, 24] as const;
  const kinds: JobKind[] = [
    {
      ...place,
      name: 'cut-plan',
      account: 'ferreteria-cordillera',
      shape: shape(1, 1),
      urgency: 'urgent',
      perDay: 300,
      meanRunMs: 2 * minuteMs,
      hours: [8, 20],
      burst: 5,
    },
    {
      ...place,
      name: 'photo-estimate',
      account: 'ferreteria-cordillera',
      shape: shape(4, 8, true),
      urgency: 'batch',
      perDay: 3,
      meanRunMs: 2 * hourMs,
      hours: [19, 23],
      burst: 1,
    },
    {
      ...place,
      name: 'photo-batch',
      account: 'constructora',
      shape: shape(4, 8, true),
      urgency: 'batch',
      perDay: 6,
      meanRunMs: 2 * hourMs,
      hours: [18, 24],
      burst: 2,
    },
    {
      ...place,
      name: 'price-list',
      account: 'hogar',
      shape: shape(1, 4),
      urgency: 'normal',
      perDay: 48,
      meanRunMs: hourMs,
      hours: [8, 20],
      burst: 2,
    },
    {
      ...place,
      name: 'tile-plan',
      account: 'hogar',
      shape: shape(1, 3),
      urgency: 'normal',
      perDay: 60,
      meanRunMs: 45 * minuteMs,
      hours: anyTime,
      burst: 4,
    },
    {
      ...place,
      name: 'catalogue',
      account: 'taller',
      shape: shape(2, 8),
      urgency: 'batch',
      perDay: 12,
      meanRunMs: 2 * hourMs,
      hours: anyTime,
      burst: 2,
    },
    {
      ...place,
      name: 'thumbnail',
      account: 'taller',
      shape: shape(1, 2),
      urgency: 'batch',
      perDay: 96,
      meanRunMs: hourMs,
      hours: anyTime,
      burst: 12,
    },
  ];
  return toWorkload('listarama', configurationOf(listarama), kinds, days, seed);
}
