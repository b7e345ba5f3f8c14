import { setTimeout as delay } from 'node:timers/promises';

import { createIdentifier } from '@apricothoist/common';
import type { JobSection } from '@apricothoist/config';
import { parseConfiguration } from '@apricothoist/config';

import type { CommandContext } from '../CommandContext.js';
import { CommandError } from '../CommandError.js';
import { ExitCode } from '../ExitCode.js';
import type { JobRow } from '../schemas.js';
import { configurationResponseSchema, submitResponseSchema } from '../schemas.js';
import { readPlans } from './jobs.js';

export interface SubmitOptions {
  readonly urgency?: string;
  readonly expectedMinutes?: number;
  /** Completion deadline as an ISO 8601 time. */
  readonly finishBy?: string;
  readonly wait: boolean;
}

const pollIntervalMs = 500;
const finalStates = ['succeeded', 'failed', 'cancelled'];

/** Submits a job defined in the configuration; with `wait`, returns once it is in a final state. */
export async function submit(
  context: CommandContext,
  name: string,
  options: SubmitOptions,
): Promise<void> {
  const section = await findJobSection(context, name);
  const body = { jobId: createIdentifier(), name, ...createRequestFields(section, options) };
  const { jobId } = await context.client().post('/v1/jobs', body, submitResponseSchema);
  context.output.printProgress(`job ${jobId} submitted`);
  if (!options.wait) {
    context.output.printResult({ jobId }, [jobId]);
    return;
  }
  const job = await waitForFinalState(context, jobId, section['data-centre']);
  context.output.printResult(job, [`${jobId} ${job.state}: ${job.reason}`]);
  if (job.state !== 'succeeded') {
    throw new CommandError(ExitCode.failed, `job ${jobId} ${job.state}`);
  }
}

async function findJobSection(context: CommandContext, name: string): Promise<JobSection> {
  const current = await context.client().get('/v1/configuration', configurationResponseSchema);
  const configuration = parseConfiguration(current.text, 'current configuration');
  if (configuration.isErr()) {
    throw new CommandError(ExitCode.failed, configuration.error.message);
  }
  const section = configuration.value.job[name];
  if (section === undefined) {
    const knownNames = Object.keys(configuration.value.job).join(', ');
    throw new CommandError(
      ExitCode.badInput,
      `job "${name}" is not configured; known: ${knownNames}`,
    );
  }
  return section;
}

function createRequestFields(section: JobSection, options: SubmitOptions) {
  const finishBy = options.finishBy === undefined ? undefined : Date.parse(options.finishBy);
  if (Number.isNaN(finishBy)) {
    const message = `--finish-by: expected a time as 2026-01-31T06:00:00Z, got "${options.finishBy}"`;
    throw new CommandError(ExitCode.badInput, message);
  }
  return {
    account: section.account,
    dataCentre: section['data-centre'],
    shape: {
      workers: section.workers,
      acceleratorsPerWorker: section['accelerators-per-worker'],
      adjacency: section.adjacency,
    },
    urgency: options.urgency ?? section.urgency,
    declaredMs: (options.expectedMinutes ?? section['expected-minutes']) * 60_000,
    finishBy,
  };
}

async function waitForFinalState(
  context: CommandContext,
  jobId: string,
  dataCentre: string,
): Promise<JobRow> {
  let reportedStatus = '';
  for (;;) {
    const plans = await readPlans(context, dataCentre);
    const job = plans.flatMap((plan) => plan.jobs).find((candidate) => candidate.id === jobId);
    if (job !== undefined && finalStates.includes(job.state)) {
      return job;
    }
    const currentStatus = job === undefined ? 'not in the plan' : `${job.state}: ${job.reason}`;
    if (currentStatus !== reportedStatus) {
      context.output.printProgress(currentStatus);
      reportedStatus = currentStatus;
    }
    await delay(pollIntervalMs);
  }
}
