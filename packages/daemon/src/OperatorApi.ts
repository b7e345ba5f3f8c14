import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock } from '@apricothoist/common';
import { messageOf } from '@apricothoist/common';
import { Urgency } from '@apricothoist/config';
import {
  createJob,
  findInfeasibilityReason,
  PlanChangeKind,
  shapeSchema,
} from '@apricothoist/scheduler';
import type { EventLog } from '@apricothoist/telemetry';
import { z } from 'zod';

import type { ConfigurationCache } from './ConfigurationCache.js';
import type {
  ConfigurationRecord,
  ConfigurationStore,
  PublishError,
} from './ConfigurationStore.js';
import { PublishErrorKind } from './ConfigurationStore.js';
import { EventKinds } from './events.js';
import type { PlanError, PlanRepository } from './PlanRepository.js';
import type { StatusReport } from './StatusReport.js';

/** Dependencies of the operator API. */
export interface OperatorServices {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly configurations: ConfigurationCache;
  readonly configurationStore: ConfigurationStore;
  /** Returns the plan of a data centre, or undefined if the data centre is not configured. */
  readonly planOf: (dataCentre: string) => PlanRepository | undefined;
  readonly status: () => StatusReport;
}

/** Status and JSON body of a response. */
export interface ApiResponse {
  readonly status: number;
  readonly body: unknown;
}

type Handler = (input: unknown, query: URLSearchParams) => Promise<ApiResponse>;

const boundedText = z.string().min(1).max(2_000);
const applySchema = z.strictObject({
  changeId: boundedText,
  expectedRevision: z.number().int().min(0),
  text: z.string(),
  author: boundedText,
  reason: boundedText,
});
const submitSchema = z.strictObject({
  jobId: boundedText,
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  account: boundedText,
  dataCentre: boundedText,
  shape: shapeSchema,
  urgency: z.enum(Urgency),
  declaredMs: z.number().positive(),
  finishBy: z.number().optional(),
});
const cancelSchema = z.strictObject({
  dataCentre: boundedText,
  jobIds: z.array(boundedText).min(1).max(10_000),
});

const retryAfterMs = 2_000;
const defaultAuditLength = 50;

const statusOfPublishError: Record<PublishErrorKind, number> = {
  conflict: 409,
  invalid: 422,
  unavailable: 503,
  unknown: 504,
};

/** JSON over HTTP API for the operators' command line. */
export class OperatorApi {
  private readonly routes: Readonly<Record<string, Handler>> = {
    'GET /v1/configuration': () => this.readConfiguration(),
    'POST /v1/configuration': (input) => this.applyConfiguration(input),
    'GET /v1/audit': (_, query) => this.readAudit(query),
    'GET /v1/status': () => Promise.resolve({ status: 200, body: this.services.status() }),
    'GET /v1/jobs': (_, query) => this.readJobs(query),
    'POST /v1/jobs': (input) => this.submitJob(input),
    'POST /v1/cancel': (input) => this.cancelJobs(input),
  };

  public constructor(private readonly services: OperatorServices) {}

  /** Serves one request. Returns false if no route matches. */
  public async serve(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<boolean> {
    const url = new URL(request.url ?? '/', 'http://instance');
    const handler = this.routes[`${request.method} ${url.pathname}`];
    if (handler === undefined) {
      return false;
    }
    const result = await runHandler(handler, body, url.searchParams);
    const isUnavailable = result.status === 503;
    response.writeHead(result.status, {
      'content-type': 'application/json',
      ...(isUnavailable ? { 'retry-after': String(retryAfterMs / 1_000) } : {}),
    });
    response.end(`${JSON.stringify(result.body)}\n`);
    return true;
  }

  private async readConfiguration(): Promise<ApiResponse> {
    await this.services.configurations.refresh();
    const active = this.services.configurations.current;
    return { status: 200, body: { revision: active?.revision ?? 0, text: active?.text ?? '' } };
  }

  private async applyConfiguration(input: unknown): Promise<ApiResponse> {
    const proposal = { ...applySchema.parse(input), at: this.services.clock.wall() };
    const published = await this.services.configurationStore.publish(proposal);
    return published.match(
      (record) => {
        this.services.configurations.offer(record);
        const { revision, author, changes } = record;
        this.services.log.emit(EventKinds.configurationPublished, { revision, author });
        return { status: 200, body: { revision, changes } };
      },
      (error) => this.publishErrorResponse(error),
    );
  }

  private publishErrorResponse(error: PublishError): ApiResponse {
    if (error.kind === PublishErrorKind.conflict) {
      this.services.log.emit(EventKinds.configurationConflict, { message: error.message });
    }
    const winners = error.winners.map(toAuditEntry);
    const body = { kind: error.kind, message: error.message, winners, retryAfterMs };
    return { status: statusOfPublishError[error.kind], body };
  }

  private async readAudit(query: URLSearchParams): Promise<ApiResponse> {
    const maxRecords = Number(query.get('most') ?? defaultAuditLength);
    const trail = await this.services.configurationStore.readAuditTrail(0, maxRecords);
    return trail.match(
      (records) => ({ status: 200, body: { entries: records.map(toAuditEntry) } }),
      (error) => unavailableResponse(error.message),
    );
  }

  private async readJobs(query: URLSearchParams): Promise<ApiResponse> {
    const dataCentres = query.get('data-centre')?.split(',') ?? this.dataCentres();
    const plans = dataCentres
      .map((dataCentre) => this.services.planOf(dataCentre))
      .filter((plan) => plan !== undefined);
    await Promise.all(plans.map((plan) => plan.refresh()));
    const body = {
      plans: plans.map(({ current, confirmedAt }) => ({
        dataCentre: current.dataCentre,
        revision: current.revision,
        confirmedAt,
        jobs: current.jobs,
        attempts: current.attempts,
        workers: current.workers,
      })),
    };
    return { status: 200, body };
  }

  private async submitJob(input: unknown): Promise<ApiResponse> {
    const { dataCentre, jobId, ...request } = submitSchema.parse(input);
    const plan = this.services.planOf(dataCentre);
    const active = this.services.configurations.current;
    if (plan === undefined || active === undefined) {
      return { status: 404, body: { message: `data centre "${dataCentre}" is not configured` } };
    }
    const job = createJob({ id: jobId, ...request }, this.services.clock.wall());
    const infeasibility = findInfeasibilityReason(job, active.configuration, dataCentre);
    if (infeasibility !== undefined) {
      return { status: 422, body: { message: `the job can never run: ${infeasibility}` } };
    }
    const written = await plan.change({ kind: PlanChangeKind.submit, job });
    return written.match(
      () => {
        const { id, name, account } = job;
        this.services.log.emit(EventKinds.jobSubmitted, { job: id, name, account, dataCentre });
        return { status: 200, body: { jobId: id } };
      },
      (error) => planErrorResponse(error),
    );
  }

  private async cancelJobs(input: unknown): Promise<ApiResponse> {
    const { dataCentre, jobIds } = cancelSchema.parse(input);
    const plan = this.services.planOf(dataCentre);
    if (plan === undefined) {
      return { status: 404, body: { message: `data centre "${dataCentre}" is not configured` } };
    }
    const results = await Promise.all(
      jobIds.map((jobId) => plan.change({ kind: PlanChangeKind.cancel, jobId })),
    );
    const failed = results.find((result) => result.isErr());
    if (failed?.isErr() === true) {
      return planErrorResponse(failed.error);
    }
    const jobs = new Map(plan.current.jobs.map((job) => [job.id, job.state]));
    const states = jobIds.map((jobId) => ({ jobId, state: jobs.get(jobId) ?? 'unknown' }));
    return { status: 200, body: { jobs: states } };
  }

  private dataCentres(): string[] {
    const active = this.services.configurations.current;
    return active?.configuration.deployment['data-centres'] ?? [];
  }
}

async function runHandler(
  handler: Handler,
  body: Buffer,
  query: URLSearchParams,
): Promise<ApiResponse> {
  try {
    const input: unknown = body.length === 0 ? {} : JSON.parse(body.toString('utf8'));
    return await handler(input, query);
  } catch (error) {
    const message = error instanceof z.ZodError ? z.prettifyError(error) : messageOf(error);
    return { status: 400, body: { message } };
  }
}

/** A configuration record as listed in the audit trail, without the configuration text. */
type AuditEntry = Omit<ConfigurationRecord, 'text'>;

function toAuditEntry(record: ConfigurationRecord): AuditEntry {
  const entry: AuditEntry & { text?: string } = { ...record };
  delete entry.text;
  return entry;
}

function unavailableResponse(message: string): ApiResponse {
  return { status: 503, body: { kind: 'unavailable', message, retryAfterMs } };
}

function planErrorResponse(error: PlanError): ApiResponse {
  const isUnknown = error.kind === 'unknown';
  const body = { kind: error.kind, message: error.message, retryAfterMs };
  return { status: isUnknown ? 504 : 503, body };
}
