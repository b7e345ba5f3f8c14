import type { Account } from './Job.js';
import type { JobRun } from './JobRun.js';

/** Accelerators that a job needs at most at one time. */
export function peakAccelerators(job: JobRun): number {
  return Math.max(...job.specification.steps.map((step) => step.count * step.size.accelerators), 0);
}

/**
 * Jobs that their account's guarantee covers: its urgent jobs in the order of their arrival, as
 * long as their needs together stay within the guarantee.
 */
export function coveredJobs(
  jobs: Iterable<JobRun>,
  accounts: ReadonlyMap<string, Account>,
): ReadonlySet<JobRun> {
  const left = new Map<string, number>();
  accounts.forEach((account) => left.set(account.name, account.guaranteedAccelerators));
  const covered = new Set<JobRun>();
  [...jobs]
    .filter((job) => !job.isOver && job.queue.priority === 0)
    .sort((first, second) => first.arrivedAt - second.arrivedAt)
    .forEach((job) => {
      const { account } = job.specification;
      const rest = (left.get(account) ?? 0) - peakAccelerators(job);
      if (rest >= 0) {
        left.set(account, rest);
        covered.add(job);
      }
    });
  return covered;
}
