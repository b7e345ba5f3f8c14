import type { CommandContext } from '../CommandContext.js';
import { CommandError } from '../CommandError.js';
import { ExitCode } from '../ExitCode.js';
import { cancelledAnswer } from '../schemas.js';
import { readPlans } from './jobs.js';

/** Cancels jobs; those of one data centre in one change of its plan. */
export async function cancel(context: CommandContext, jobIds: readonly string[]): Promise<void> {
  const plans = await readPlans(context);
  const known = new Set(plans.flatMap((plan) => plan.jobs.map((job) => job.id)));
  const missing = jobIds.filter((jobId) => !known.has(jobId));
  if (missing.length > 0) {
    const message = `in no data centre's plan: ${missing.join(', ')}; nothing was cancelled`;
    throw new CommandError(ExitCode.badInput, message);
  }
  const answers = [];
  for (const plan of plans) {
    const own = plan.jobs.map((job) => job.id).filter((jobId) => jobIds.includes(jobId));
    if (own.length > 0) {
      const body = { dataCentre: plan.dataCentre, jobIds: own };
      answers.push(...(await context.client().post('/v1/cancel', body, cancelledAnswer)).jobs);
    }
  }
  const lines = answers.map(({ jobId, state }) => `${jobId} ${state}`);
  context.output.result({ jobs: answers }, lines);
}
