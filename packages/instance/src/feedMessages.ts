import { JobState } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

import type { ForwardedRequest, ForwardedResult } from './FeedRequest.js';
import { ForwardedOperation } from './FeedRequest.js';
import type { FeedUpdate } from './JobStatusCache.js';
import { Lookup, SubmitOutcome } from './requestResults.js';
import { queueSchema, specificationSchema } from './storedRecords.js';

const amount = z.number().min(0);

const queueStatusSchema = z.object({
  priority: z.exactOptional(z.number()),
  pending: z.number(),
  backlogMs: z.number(),
  durationMs: z.number(),
  largestRunner: z.number(),
});

const updateSchema: z.ZodType<FeedUpdate> = z.object({
  isInDoubt: z.exactOptional(z.boolean()),
  isWhole: z.boolean(),
  states: z.array(z.tuple([z.string(), z.enum(JobState)])),
  strongestCores: amount,
  forgotten: z.array(z.string()),
  queues: z.array(z.tuple([z.string(), queueStatusSchema])),
  backlogs: z.exactOptional(z.array(z.tuple([z.number(), z.number()]))),
  largestRunner: z.exactOptional(amount),
  service: z.exactOptional(z.object({ isStoreReachable: z.boolean(), requestVersion: z.number() })),
});

const resultSchema: z.ZodType<ForwardedResult> = z.union([
  z.object({
    submit: z.object({
      outcome: z.enum(SubmitOutcome),
      reason: z.string(),
      retryAfterMs: z.exactOptional(amount),
    }),
  }),
  z.object({
    state: z.object({
      lookup: z.enum(Lookup),
      state: z.exactOptional(z.enum(JobState)),
      source: z.string(),
    }),
  }),
  z.object({ cancel: z.enum(Lookup), retryAfterMs: z.exactOptional(amount) }),
]);

const requestSchema: z.ZodType<ForwardedRequest> = z.union([
  z.object({
    operation: z.literal(ForwardedOperation.submit),
    specification: specificationSchema,
    queue: queueSchema,
  }),
  z.object({ operation: z.literal(ForwardedOperation.state), id: z.string() }),
  z.object({
    operation: z.literal(ForwardedOperation.cancel),
    id: z.string(),
    client: z.exactOptional(z.string()),
  }),
]);

function decode<T>(schema: z.ZodType<T>, message: unknown): Result<T, Error> {
  const parsed = schema.safeParse(message);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  return err(new Error(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`));
}

/** Decodes an update of the scheduling instance; fields of later versions are dropped. */
export function decodeFeedUpdate(message: unknown): Result<FeedUpdate, Error> {
  return decode(updateSchema, message);
}

/** Decodes what the scheduling instance has answered to a request. */
export function decodeForwardedResult(message: unknown): Result<ForwardedResult, Error> {
  return decode(resultSchema, message);
}

/** Decodes the request of another instance. */
export function decodeForwardedRequest(message: unknown): Result<ForwardedRequest, Error> {
  return decode(requestSchema, message);
}
