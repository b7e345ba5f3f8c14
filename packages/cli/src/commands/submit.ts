import { setTimeout as delay } from 'node:timers/promises';

import { createIdentifier } from '@apricothoist/common';
import type { JobSection } from '@apricothoist/config';
import { parseConfiguration } from '@apricothoist/config';

import type { CommandContext } from '../CommandContext.js';
import { CommandError } from '../CommandError.js';
import { ExitCode } from '../ExitCode.js';
import type { JobRow } from '../schemas.js';
import { configurationAnswer, submittedAnswer } from '../schemas.js';
import { readPlans } from './jobs.js';

export interface SubmitOptions {
  readonly urgency?: string;
  readonly expectedMinutes?: number;
  /** Time in ISO 8601 by which the job should be done. */
  readonly finishBy?: string;
  readonly wait: boolean;
}

const pollMs = 500;
const finalStates = ['succeeded', 'failed', 'cancelled'];

/** Submits a job that the configuration describes, and waits for its end if asked to. */
export async function submit(
  context: CommandContext,
  name: string,
  options: SubmitOptions,
): Promise<void> {
  const section = await findTemplate(context, name);
  const body = { jobId: createIdentifier(), name, ...toRequest(section, options) };
  const { jobId } = await context.client().post('/v1/jobs', body, submittedAnswer);
  context.output.progress(`job ${jobId} submitted`);
  if (!options.wait) {
    context.output.result({ jobId }, [jobId]);
    return;
  }
  const job = await waitForEnd(context, jobId, section['data-centre']);
  context.output.result(job, [`${jobId} ${job.state}: ${job.reason}`]);
  if (job.state !== 'succeeded') {
    throw new CommandError(ExitCode.failed, `job ${jobId} ${job.state}`);
  }
}

async function findTemplate(context: CommandContext, name: string): Promise<JobSection> {
  const current = await context.client().get('/v1/configuration', configurationAnswer);
  const configuration = parseConfiguration(current.text, 'configuration in force');
  if (configuration.isErr()) {
    throw new CommandError(ExitCode.failed, configuration.error.message);
  }
  const section = configuration.value.job[name];
  if (section === undefined) {
    const known = Object.keys(configuration.value.job).join(', ');
    throw new CommandError(ExitCode.badInput, `job "${name}" is not configured; known: ${known}`);
  }
  return section;
}

function toRequest(section: JobSection, options: SubmitOptions) {
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

async function waitForEnd(
  context: CommandContext,
  jobId: string,
  dataCentre: string,
): Promise<JobRow> {
  let told = '';
  for (;;) {
    const plans = await readPlans(context, dataCentre);
    const job = plans.flatMap((plan) => plan.jobs).find((candidate) => candidate.id === jobId);
    if (job !== undefined && finalStates.includes(job.state)) {
      return job;
    }
    const news = job === undefined ? 'not in the plan' : `${job.state}: ${job.reason}`;
    if (news !== told) {
      context.output.progress(news);
      told = news;
    }
    await delay(pollMs);
  }
}
