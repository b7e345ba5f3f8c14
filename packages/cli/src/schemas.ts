import { z } from 'zod';

const changeSchema = z.object({
  kind: z.enum(['added', 'removed', 'changed']),
  section: z.string(),
  key: z.string(),
  from: z.string().optional(),
  to: z.string().optional(),
});

/** One entry of the audit trail. */
export const auditEntrySchema = z.object({
  revision: z.number(),
  digest: z.string(),
  changeId: z.string(),
  author: z.string(),
  reason: z.string(),
  at: z.number(),
  changes: z.array(changeSchema),
});
export type AuditEntry = z.output<typeof auditEntrySchema>;

export const configurationResponseSchema = z.object({ revision: z.number(), text: z.string() });
export const applyResponseSchema = z.object({
  revision: z.number(),
  changes: z.array(changeSchema),
});
export const auditResponseSchema = z.object({ entries: z.array(auditEntrySchema) });
export const submitResponseSchema = z.object({ jobId: z.string() });
export const cancelResponseSchema = z.object({
  jobs: z.array(z.object({ jobId: z.string(), state: z.string() })),
});
export const conflictDetailsSchema = z.object({ winners: z.array(auditEntrySchema) });

const shapeSchema = z.object({
  workers: z.number(),
  acceleratorsPerWorker: z.number(),
  adjacency: z.string(),
});

/** A job as stored in the plan. */
export const jobSchema = z.object({
  id: z.string(),
  name: z.string(),
  account: z.string(),
  shape: shapeSchema,
  urgency: z.string(),
  declaredMs: z.number(),
  submittedAt: z.number(),
  finishBy: z.number().optional(),
  state: z.string(),
  queuedAt: z.number(),
  attemptCount: z.number(),
  checkpointMs: z.number(),
  attainedMs: z.number(),
  failedWorkers: z.array(z.string()),
  finishedAt: z.number().optional(),
  reason: z.string(),
});
export type JobRow = z.output<typeof jobSchema>;

export const attemptSchema = z.object({
  id: z.string(),
  jobId: z.string(),
  number: z.number(),
  state: z.string(),
  guarantee: z.string().optional(),
  startedAt: z.number().optional(),
  tasks: z.array(z.object({ workerId: z.string(), accelerators: z.number() })),
});
export type AttemptRow = z.output<typeof attemptSchema>;

const planSchema = z.object({
  dataCentre: z.string(),
  revision: z.number(),
  confirmedAt: z.number(),
  jobs: z.array(jobSchema),
  attempts: z.array(attemptSchema),
  workers: z.array(
    z.object({
      workerId: z.string(),
      failedJobs: z.array(z.string()),
      quarantinedUntil: z.number(),
    }),
  ),
});
export const jobsResponseSchema = z.object({ plans: z.array(planSchema) });

export const statusResponseSchema = z.object({
  instanceId: z.string(),
  name: z.string(),
  dataCentre: z.string(),
  isReady: z.boolean(),
  isLeaving: z.boolean(),
  configurationRevision: z.number(),
  storeState: z.string(),
  storeCalls: z.number(),
  schedulesDataCentre: z.boolean(),
  planRevision: z.number(),
  openRequests: z.number(),
  shortfall: z.array(z.object({ account: z.string(), guarantee: z.string(), units: z.number() })),
  instances: z.array(
    z.object({
      instanceId: z.string(),
      dataCentre: z.string(),
      state: z.string(),
      configurationRevision: z.number(),
    }),
  ),
  endpoints: z.array(
    z.object({ service: z.string(), id: z.string(), state: z.string(), inFlight: z.number() }),
  ),
  workers: z.array(
    z.object({
      id: z.string(),
      rack: z.string(),
      accelerators: z.number(),
      isUsable: z.boolean(),
    }),
  ),
  meshBytesSent: z.number(),
  meshBytesReceived: z.number(),
});
