import { Random } from '@apricothoist/common';
import type { Configuration, ConfigurationBuilder } from '@apricothoist/config';
import { Adjacency, parseConfiguration } from '@apricothoist/config';
import { listarama, tallinn } from '@apricothoist/examples';
import type { Shape } from '@apricothoist/scheduler';

import type { WorkloadJob, Workload } from './Workload.js';
import { createWorkers } from './Workload.js';

export const minuteMs = 60_000;
export const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Describes a kind of job from which a workload generates its jobs. */
export interface JobTemplate {
  readonly name: string;
  readonly account: string;
  readonly dataCentre: string;
  readonly shape: Shape;
  readonly urgency: WorkloadJob['urgency'];
  /** Jobs per day, counting each job of a burst. */
  readonly perDay: number;
  readonly meanRunMs: number;
  /** Start and end hour of the daily period in which the jobs arrive. */
  readonly hours: readonly [number, number];
  /** Number of jobs that are submitted at the same time. */
  readonly burst: number;
  /** Hours after submission by which the job should be done. */
  readonly finishWithinHours?: number;
}

export function createShape(
  workers: number,
  acceleratorsPerWorker: number,
  isAdjacent = false,
): Shape {
  const adjacency = isAdjacent ? Adjacency.rack : Adjacency.any;
  return { workers, acceleratorsPerWorker, adjacency };
}

function createJobs(templates: readonly JobTemplate[], days: number, seed: number): WorkloadJob[] {
  const random = new Random(seed);
  const jobs = templates.flatMap((template) => createTemplateJobs(template, days, random));
  return jobs.sort((left, right) => left.submitAt - right.submitAt);
}

function createTemplateJobs(template: JobTemplate, days: number, random: Random): WorkloadJob[] {
  const [from, until] = template.hours;
  const burstCount = Math.max(1, Math.round((template.perDay * days) / template.burst));
  return Array.from({ length: burstCount }, (_, burstIndex) => {
    const day = Math.floor((burstIndex * days) / burstCount);
    const submitAt = day * dayMs + (from + random.fraction() * (until - from)) * hourMs;
    return Array.from({ length: template.burst }, (__, index) =>
      createJob(
        template,
        `${template.account}-${template.name}-${burstIndex}-${index}`,
        submitAt,
        random,
      ),
    );
  }).flat();
}

function createJob(
  template: JobTemplate,
  id: string,
  submitAt: number,
  random: Random,
): WorkloadJob {
  const runMs = Math.max(10_000, random.exponential(template.meanRunMs));
  const declarationFactor = 10 ** (2 * random.fraction() - 1);
  const { name, account, dataCentre, urgency, finishWithinHours } = template;
  return {
    id,
    name,
    account,
    dataCentre,
    shape: template.shape,
    urgency,
    submitAt,
    runMs,
    declaredMs: runMs * declarationFactor,
    ...(finishWithinHours === undefined ? {} : { finishBy: submitAt + finishWithinHours * hourMs }),
  };
}

export function createWorkload(
  name: string,
  configuration: Configuration,
  templates: readonly JobTemplate[],
  days: number,
  seed: number,
): Workload {
  return {
    name,
    configuration,
    workers: createWorkers(configuration),
    jobs: createJobs(templates, days, seed),
  };
}

export function parseBuiltConfiguration(builder: ConfigurationBuilder): Configuration {
  return parseConfiguration(builder.print(), 'workload')._unsafeUnwrap();
}

/**
 * Workload of the Tallinn example: odour triage by day, network matching by night, planning and
 * research at any time.
 */
export function createTallinnWorkload(days: number, seed: number): Workload {
  const location = { dataCentre: 'kesklinn' };
  const anyTime = [0, 24] as const;
  const templates: JobTemplate[] = [
    {
      ...location,
      name: 'triage-model',
      account: 'hotline',
      shape: createShape(1, 2),
      urgency: 'urgent',
      perDay: 120,
      meanRunMs: 4 * minuteMs,
      hours: anyTime,
      burst: 3,
    },
    {
      ...location,
      name: 'matching',
      account: 'network',
      shape: createShape(4, 8, true),
      urgency: 'batch',
      perDay: 2,
      meanRunMs: 4 * hourMs,
      hours: [20, 22],
      burst: 1,
      finishWithinHours: 10,
    },
    {
      ...location,
      name: 'district',
      account: 'network',
      shape: createShape(2, 8, true),
      urgency: 'normal',
      perDay: 8,
      meanRunMs: 2 * hourMs,
      hours: anyTime,
      burst: 1,
    },
    {
      ...location,
      name: 'pressure',
      account: 'planning',
      shape: createShape(1, 4),
      urgency: 'normal',
      perDay: 60,
      meanRunMs: hourMs,
      hours: [7, 19],
      burst: 2,
    },
    {
      ...location,
      name: 'survey',
      account: 'planning',
      shape: createShape(1, 3),
      urgency: 'normal',
      perDay: 60,
      meanRunMs: 40 * minuteMs,
      hours: anyTime,
      burst: 4,
    },
    {
      ...location,
      name: 'study',
      account: 'research',
      shape: createShape(4, 8),
      urgency: 'batch',
      perDay: 8,
      meanRunMs: 3 * hourMs,
      hours: anyTime,
      burst: 2,
    },
    {
      ...location,
      name: 'sweep',
      account: 'research',
      shape: createShape(1, 1),
      urgency: 'batch',
      perDay: 120,
      meanRunMs: hourMs,
      hours: anyTime,
      burst: 20,
    },
  ];
  return createWorkload('tallinn', parseBuiltConfiguration(tallinn), templates, days, seed);
}

/**
 * Workload of the Listarama example: cut plans at the counter by day, photo estimates by night,
 * catalogues at any time.
 */
export function createListaramaWorkload(days: number, seed: number): Workload {
  const location = { dataCentre: 'cr-central-a' };
  const anyTime = [0, 24] as const;
  const templates: JobTemplate[] = [
    {
      ...location,
      name: 'cut-plan',
      account: 'ferreteria-cordillera',
      shape: createShape(1, 1),
      urgency: 'urgent',
      perDay: 300,
      meanRunMs: 2 * minuteMs,
      hours: [8, 20],
      burst: 5,
    },
    {
      ...location,
      name: 'photo-estimate',
      account: 'ferreteria-cordillera',
      shape: createShape(4, 8, true),
      urgency: 'batch',
      perDay: 3,
      meanRunMs: 2 * hourMs,
      hours: [19, 23],
      burst: 1,
    },
    {
      ...location,
      name: 'photo-batch',
      account: 'constructora',
      shape: createShape(4, 8, true),
      urgency: 'batch',
      perDay: 6,
      meanRunMs: 2 * hourMs,
      hours: [18, 24],
      burst: 2,
    },
    {
      ...location,
      name: 'price-list',
      account: 'hogar',
      shape: createShape(1, 4),
      urgency: 'normal',
      perDay: 48,
      meanRunMs: hourMs,
      hours: [8, 20],
      burst: 2,
    },
    {
      ...location,
      name: 'tile-plan',
      account: 'hogar',
      shape: createShape(1, 3),
      urgency: 'normal',
      perDay: 60,
      meanRunMs: 45 * minuteMs,
      hours: anyTime,
      burst: 4,
    },
    {
      ...location,
      name: 'catalogue',
      account: 'taller',
      shape: createShape(2, 8),
      urgency: 'batch',
      perDay: 12,
      meanRunMs: 2 * hourMs,
      hours: anyTime,
      burst: 2,
    },
    {
      ...location,
      name: 'thumbnail',
      account: 'taller',
      shape: createShape(1, 2),
      urgency: 'batch',
      perDay: 96,
      meanRunMs: hourMs,
      hours: anyTime,
      burst: 12,
    },
  ];
  return createWorkload('listarama', parseBuiltConfiguration(listarama), templates, days, seed);
}
