import type { CommandContext } from '../CommandContext.js';
import { CommandError } from '../CommandError.js';
import { ExitCode } from '../ExitCode.js';
import type { AttemptRow, JobRow } from '../schemas.js';
import { describeShape, readPlans } from './jobs.js';

/** Prints the state of a job with its reason, and its attempts. */
export async function explain(context: CommandContext, jobId: string): Promise<void> {
  const plans = await readPlans(context);
  const plan = plans.find((candidate) => candidate.jobs.some((job) => job.id === jobId));
  const job = plan?.jobs.find((candidate) => candidate.id === jobId);
  if (plan === undefined || job === undefined) {
    throw new CommandError(ExitCode.badInput, `job "${jobId}" not found in any data centre's plan`);
  }
  const attempts = plan.attempts.filter((attempt) => attempt.jobId === jobId);
  const lines = [...describeJob(job, plan.dataCentre), ...attempts.flatMap(describeAttempt)];
  context.output.printResult({ dataCentre: plan.dataCentre, job, attempts }, lines);
}

function describeJob(job: JobRow, dataCentre: string): string[] {
  const submittedAt = new Date(job.submittedAt).toISOString();
  const failed = job.failedWorkers.length === 0 ? 'none' : job.failedWorkers.join(', ');
  return [
    `job          ${job.name} (${job.id})`,
    `account      ${job.account}, ${job.urgency}`,
    `shape        ${describeShape(job)} in ${dataCentre}`,
    `state        ${job.state}: ${job.reason}`,
    `submitted    ${submittedAt}, declared ${formatMinutes(job.declaredMs)}`,
    `work         ${formatMinutes(job.attainedMs)} done, ${formatMinutes(job.checkpointMs)} checkpointed`,
    `attempts     ${job.attemptCount}, failed on: ${failed}`,
  ];
}

function describeAttempt(attempt: AttemptRow): string[] {
  const capacitySource =
    attempt.guarantee === undefined ? 'borrowed' : `under guarantee "${attempt.guarantee}"`;
  const tasks = attempt.tasks.map((task) => `${task.workerId}:${task.accelerators}`).join(' ');
  return [`attempt ${attempt.number}    ${attempt.state}, ${capacitySource}, on ${tasks}`];
}

function formatMinutes(milliseconds: number): string {
  return `${(milliseconds / 60_000).toFixed(1)} min`;
}
