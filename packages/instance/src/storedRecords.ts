import type { JobSpecification, LearnedState, ProgressRecord } from '@apricothoist/dispatch';
import { CrashSuspicion, JobState } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

import { isFeedAddress } from './feedAddress.js';
import type {
  HolderRecord,
  MaintenanceRecord,
  StoredJob,
  StrongestCoresRecord,
} from './StoredJob.js';

/** Largest number of tasks of a step, and of a job over all its occurrences. */
export const maxStepTasks = 10_000;
export const maxJobTasks = 50_000;
/** Largest amount of a resource of one task or runner; sums of such amounts stay exact. */
export const maxResourceAmount = 1e9;
/** Longest duration in milliseconds, and latest point in time that a date can hold. */
export const maxDurationMs = 1e12;
export const maxWallMs = 8.64e15;
/** Largest number of a run, of an attempt or of an occurrence. */
const maxCount = 2 ** 31;
/** Bounds of learned values: logarithms of milliseconds, their moments, and accelerators. */
const maxLog = 50;
const maxMoment = 1e4;
const maxAccelerators = 1e6;
const maxDemandSlots = 10_000;

const count = z.number().int().min(0).max(maxCount);
const amount = z.number().min(0).max(maxResourceAmount);
const durationMs = z.number().min(0).max(maxDurationMs);
const wallMs = z.number().min(0).max(maxWallMs);

const stepSchema = z.object({
  count: z.number().int().min(1).max(maxStepTasks),
  size: z.object({ cpu: amount, memoryMb: amount, accelerators: amount }),
  declaredMs: durationMs,
  after: z.array(count),
  isGang: z.boolean().default(false),
  prefersOneRack: z.boolean().default(false),
  dataRack: z.exactOptional(z.string()),
  requiredLabel: z.exactOptional(z.string()),
  perRunnerLimit: z.exactOptional(z.number().int()),
  savesProgress: z.boolean().default(false),
  isLasting: z.boolean().default(false),
  mayMiss: z.exactOptional(z.number().int().min(0)),
  usesLeftover: z.boolean().default(false),
});

const adviceSchema = z.object({
  decisionMs: z.number(),
  periodMs: z.number(),
  validityMs: z.number(),
});

export const queueSchema = z.object({
  name: z.string(),
  service: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetMs: z.number(),
  advice: z.exactOptional(adviceSchema),
});

/** Whether steps name only earlier steps, so that each one has its turn. */
function areOrdered({ steps }: Pick<JobSpecification, 'steps'>): boolean {
  return steps.every(({ after }, index) => after.every((step) => step < index));
}

/** Tasks of a job over all its occurrences. */
export function countTasks({
  steps,
  occurrences,
}: Pick<JobSpecification, 'steps' | 'occurrences'>): number {
  return steps.reduce((sum, step) => sum + step.count, 0) * occurrences;
}

export const specificationSchema = z
  .object({
    id: z.string(),
    queue: z.string(),
    account: z.string(),
    service: z.string(),
    payload: z.string(),
    steps: z.array(stepSchema).min(1),
    occurrences: z.number().int().min(1),
    intervalMs: durationMs,
    firstDueAt: wallMs,
    acceptedAt: wallMs,
  })
  .refine(areOrdered, 'a step follows a later one')
  .refine((job) => countTasks(job) <= maxJobTasks, `more than ${maxJobTasks} tasks`);

export const storedJobSchema: z.ZodType<StoredJob> = z.object({
  specification: specificationSchema,
  queue: queueSchema,
});

const crashSchema = z.tuple([
  z.string(),
  z.number(),
  z.enum(CrashSuspicion),
  z.boolean(),
  z.number(),
]);

const groupSchema = z.tuple([
  z.string(),
  count,
  count,
  z.string(),
  z.array(z.string().nullable()),
  z.array(z.number().int().nullable()).optional(),
  z.array(z.tuple([count, z.tuple([count, z.array(crashSchema)])])).optional(),
]);

export const progressSchema: z.ZodType<ProgressRecord> = z.object({
  state: z.enum(JobState),
  hasStarted: z.boolean(),
  occurrences: count,
  done: z.array(z.string()),
  units: z.array(groupSchema),
  failedRuns: z.exactOptional(
    z.array(z.tuple([z.string(), z.array(z.tuple([count, z.string()]))])),
  ),
});

/** The one field of a progress record that clients see. */
export const progressStateSchema = z.object({ state: z.enum(JobState) });

export const holderSchema: z.ZodType<HolderRecord> = z.object({
  instance: z.string().min(1),
  feedAddress: z.string().refine(isFeedAddress, 'not an address'),
});

export const strongestCoresSchema: z.ZodType<StrongestCoresRecord> = z.object({
  cores: z.number().min(0).max(maxResourceAmount),
});

export const maintenanceSchema: z.ZodType<MaintenanceRecord> = z.object({
  revision: z.number().int().min(0),
  deadline: z.number().min(-maxWallMs).max(maxWallMs),
  called: z.array(z.tuple([z.string(), z.string()])),
  begun: z.array(z.string()),
  refused: z.array(z.string()),
  isCompleted: z.boolean(),
});

const log = z.number().min(-maxLog).max(maxLog);
const moment = z.number().min(-maxMoment).max(maxMoment);
const variance = z.number().min(0).max(maxMoment);
const accelerators = z.number().min(0).max(maxAccelerators);

export const learnedStateSchema: z.ZodType<LearnedState> = z.object({
  durations: z.array(z.tuple([z.string(), count, log, log, variance, moment])),
  paces: z.array(
    z.tuple([z.string(), z.number().int(), z.tuple([z.number().min(0), log, variance.optional()])]),
  ),
  headroom: accelerators,
  demand: z.array(accelerators).max(maxDemandSlots),
});

/** Decodes a stored record; the error names the invalid field. */
export function decodeRecord<T>(schema: z.ZodType<T>, value: string): Result<T, Error> {
  let json: unknown;
  try {
    json = JSON.parse(value);
  } catch (cause) {
    return err(new Error('not JSON', { cause }));
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  return err(new Error(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`));
}
