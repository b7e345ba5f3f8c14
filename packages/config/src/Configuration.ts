import { z } from 'zod';

/** Accepts booleans as text, because the INI parser converts `true` and `false` to booleans. */
const text = z.preprocess(
  (value) => (typeof value === 'boolean' ? String(value) : value),
  z.string(),
);

/** Restricted because names become parts of INI section names, store keys and metric labels. */
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

/** Placement constraint for the workers of one gang: any workers, or workers of one rack. */
export const Adjacency = { any: 'any', rack: 'rack' } as const;
export type Adjacency = (typeof Adjacency)[keyof typeof Adjacency];
const adjacency = z.enum(Adjacency);

/** Priority classes of requests and jobs, from most to least urgent. */
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
  /** Weight of the account when request slots are shared among accounts. */
  weight: positive,
  /** Maximum number of concurrent requests of this account per instance, queued or running. */
  'request-limit': positive,
  /** Maximum number of accelerators that the jobs of this account hold in one data centre. */
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
  /** Retry budget: number of retries allowed per 100 first attempts. */
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

/** Schema of the parsed INI, keyed by section kind and then by section name. */
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

/** A validated configuration of one deployment. */
export type Configuration = z.output<typeof configurationSchema>;
