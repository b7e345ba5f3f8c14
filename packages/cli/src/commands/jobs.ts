import type { CommandContext } from '../CommandContext.js';
import { formatTable } from '../Output.js';
import type { JobRow } from '../schemas.js';
import { jobsResponseSchema } from '../schemas.js';

export interface JobsOptions {
  readonly dataCentre?: string;
  readonly account?: string;
}

/** Lists jobs, the most recently submitted first. */
export async function jobs(context: CommandContext, options: JobsOptions): Promise<void> {
  const plans = await readPlans(context, options.dataCentre);
  const rows = plans
    .flatMap((plan) => plan.jobs.map((job) => ({ dataCentre: plan.dataCentre, ...job })))
    .filter((job) => options.account === undefined || job.account === options.account)
    .sort((left, right) => right.submittedAt - left.submittedAt);
  const table = formatTable(
    ['JOB', 'NAME', 'ACCOUNT', 'DATA CENTRE', 'SHAPE', 'STATE', 'REASON'],
    rows.map((job) => [
      job.id,
      job.name,
      job.account,
      job.dataCentre,
      describeShape(job),
      job.state,
      job.reason,
    ]),
  );
  context.output.printResult({ jobs: rows }, table);
}

/** Reads the plans of all data centres, or of `dataCentre` only. */
export async function readPlans(context: CommandContext, dataCentre?: string) {
  const query = dataCentre === undefined ? '' : `?data-centre=${encodeURIComponent(dataCentre)}`;
  return (await context.client().get(`/v1/jobs${query}`, jobsResponseSchema)).plans;
}

export function describeShape(job: JobRow): string {
  const { workers, acceleratorsPerWorker, adjacency } = job.shape;
  return `${workers}x${acceleratorsPerWorker}${adjacency === 'rack' ? ' in a rack' : ''}`;
}
