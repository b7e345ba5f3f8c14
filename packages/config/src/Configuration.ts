import { z } from 'zod';

/** A value as the INI library gives it: it turns true and false into booleans. */
const text = z.preprocess(
  (value) => (typeof value === 'boolean' ? String(value) : value),
  z.string(),
);

/** Names are used as INI section parts, store keys and metric labels. */
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens');
const wholeNumber = text
  .pipe(z.string().regex(/^\d{1,12}$/, 'expected a whole number'))
  .transform(Number);
const positive = wholeNumber.refine((value) => value > 0, 'expected a whole number above 0');
const fraction = text
  .pipe(z.string().regex(/^(0(\.\d{1,6})?|1(\.0{1,6})?)$/, 'expected a number from 0 to 1'))
  .transform(Number);
const flag = text
  .pipe(z.string().regex(/^(true|false)$/, 'expected true or false'))
  .transform((value) => value === 'true');
const names = z
  .string()
  .transform((value) => value.split(',').map((part) => part.trim()))
  .pipe(z.array(name).min(1));

/** Where the workers of one gang must stand. */
export const Adjacency = { any: 'any', rack: 'rack' } as const;
export type Adjacency = (typeof Adjacency)[keyof typeof Adjacency];
const adjacency = z.enum(Adjacency);

/** Classes of requests and jobs, from the most to the least pressing. */
export const Urgency = { urgent: 'urgent', normal: 'normal', batch: 'batch' } as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];
const urgency = z.enum(Urgency);

const deploymentSchema = z.strictObject({
  name,
  region: name,
  'data-centres': names,
  /** Weight of completion time against fragmentation in placement, 0 to 1. */
  'completion-weight': fraction,
});

const accountSchema = z.strictObject({
  /** Share of request slots relative to other accounts. */
  weight: positive,
  /** Requests of this account that one instance holds at a time, queued or running. */
  'request-limit': positive,
  /** Accelerators that all jobs of this account may hold at a time in one data centre. */
  'accelerator-limit': positive,
});

const guaranteeSchema = z.strictObject({
  account: name,
  'data-centre': name,
  workers: positive,
  'accelerators-per-worker': positive,
  adjacency,
  count: positive,
});

const serviceSchema = z.strictObject({
  'endpoint-slots': positive,
  'endpoint-connections': positive,
  'max-body-bytes': positive,
  'max-header-bytes': positive,
  'timeout-ms': positive,
  /** Retries allowed per hundred first tries. */
  'retry-percent': wholeNumber,
});

const workersSchema = z.strictObject({
  count: positive,
  'workers-per-rack': positive,
  cores: positive,
  'memory-gb': positive,
  accelerators: positive,
  guards: flag,
});

const jobSchema = z.strictObject({
  account: name,
  'data-centre': name,
  workers: positive,
  'accelerators-per-worker': positive,
  adjacency,
  urgency,
  'expected-minutes': positive,
});

const section = <T extends z.ZodType>(schema: T) => z.record(name, schema).default({});

/** Checks the parsed INI; keys are section kinds, then names. */
export const configurationSchema = z.strictObject({
  deployment: deploymentSchema,
  account: section(accountSchema),
  guarantee: section(guaranteeSchema),
  service: section(serviceSchema),
  workers: section(workersSchema),
  job: section(jobSchema),
});

export type DeploymentSection = z.output<typeof deploymentSchema>;
export type AccountSection = z.output<typeof accountSchema>;
export type GuaranteeSection = z.output<typeof guaranteeSchema>;
export type ServiceSection = z.output<typeof serviceSchema>;
export type WorkersSection = z.output<typeof workersSchema>;
export type JobSection = z.output<typeof jobSchema>;

/** A checked configuration: everything that operators decide for one deployment. */
export type Configuration = z.output<typeof configurationSchema>;
