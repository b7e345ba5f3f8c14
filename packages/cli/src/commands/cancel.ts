import type { CommandContext } from '../CommandContext.js';
import { CommandError } from '../CommandError.js';
import { ExitCode } from '../ExitCode.js';
import { cancelResponseSchema } from '../schemas.js';
import { readPlans } from './jobs.js';

/** Cancels jobs, with one request and one change of the plan for each data centre. */
export async function cancel(context: CommandContext, jobIds: readonly string[]): Promise<void> {
  const plans = await readPlans(context);
  const knownIds = new Set(plans.flatMap((plan) => plan.jobs.map((job) => job.id)));
  const unknownIds = jobIds.filter((jobId) => !knownIds.has(jobId));
  if (unknownIds.length > 0) {
    const message = `not found in any data centre's plan: ${unknownIds.join(', ')}; nothing was cancelled`;
    throw new CommandError(ExitCode.badInput, message);
  }
  const cancelledJobs = [];
  for (const plan of plans) {
    const idsInPlan = plan.jobs.map((job) => job.id).filter((jobId) => jobIds.includes(jobId));
    if (idsInPlan.length > 0) {
      const body = { dataCentre: plan.dataCentre, jobIds: idsInPlan };
      cancelledJobs.push(
        ...(await context.client().post('/v1/cancel', body, cancelResponseSchema)).jobs,
      );
    }
  }
  const lines = cancelledJobs.map(({ jobId, state }) => `${jobId} ${state}`);
  context.output.printResult({ jobs: cancelledJobs }, lines);
}
