import type { Account } from './Job.js';
import type { JobRun } from './JobRun.js';

/** Accelerators of the widest step of a job. */
export function peakAccelerators(job: JobRun): number {
  return Math.max(...job.specification.steps.map((step) => step.count * step.size.accelerators), 0);
}

/**
 * Returns the jobs that the guarantees of their accounts cover: the urgent jobs of an account in
 * order of arrival, skipping those that would exceed the guarantee together with the earlier ones.
 */
export function coveredJobs(
  jobs: Iterable<JobRun>,
  accounts: ReadonlyMap<string, Account>,
): ReadonlySet<JobRun> {
  const unused = new Map<string, number>();
  accounts.forEach((account) => unused.set(account.name, account.guaranteedAccelerators));
  const covered = new Set<JobRun>();
  [...jobs]
    .filter((job) => !job.isEnded && job.queue.priority === 0)
    .sort((first, second) => first.arrivedAt - second.arrivedAt)
    .forEach((job) => {
      const { account } = job.specification;
      const remaining = (unused.get(account) ?? 0) - peakAccelerators(job);
      if (remaining >= 0) {
        unused.set(account, remaining);
        covered.add(job);
      }
    });
  return covered;
}
