import { CrashHistory } from './CrashHistory.js';
import type { DispatchState } from './DispatchState.js';
import type { JobRun } from './JobRun.js';
import type { FailedRunRecord } from './FailedRuns.js';
import type { StoredProgress, TaskGroupRecord } from './ProgressRecord.js';
import { extendLease } from './leases.js';
import { Runner } from './Runner.js';
import type { RunnerCrashes } from './RunnerCrashes.js';
import type { TaskGroup } from './TaskGroup.js';
import { RunHistory } from './RunHistory.js';
import { MemberState } from './TaskGroup.js';
import type { TaskGroupLifecycle } from './TaskGroupLifecycle.js';
import { placeMember } from './TaskGroupLifecycle.js';

/**
 * Failed runs in a record of an earlier version, which has only their number. A member that ended
 * before the others of its gang has most likely failed, and then the current run is counted already.
 */
function presumedFailedRuns([, run, failures, , runnerIds]: TaskGroupRecord): FailedRunRecord[] {
  return failures > 0 && runnerIds.includes(null) ? [[run, '']] : [];
}

/** Restores the progress of jobs when this instance takes over scheduling. */
export class ProgressRestorer {
  public constructor(
    private readonly state: DispatchState,
    private readonly lifecycle: TaskGroupLifecycle,
    private readonly crashes: RunnerCrashes,
  ) {}

  /** Applies the stored progress of a job. */
  public restore(job: JobRun, stored: StoredProgress, now: number): void {
    const { progress, leasesExtendedUntil } = stored;
    job.state = progress.state;
    job.hasStarted = progress.hasStarted;
    if (job.isEnded) {
      job.endedAt = now;
      return;
    }
    while (job.createdOccurrences < progress.occurrences) {
      job.createDueGroups(job.dueAt(job.createdOccurrences));
    }
    progress.done.forEach((key) => {
      const group = job.groups.get(key);
      if (group !== undefined) {
        group.restoreDone();
      }
    });
    const failedRuns = new Map(progress.failedRuns);
    progress.units.forEach((record) => {
      const [key, run, failures, saved, runnerIds, processStarts = [], crashes = []] = record;
      const group = job.groups.get(key);
      if (group !== undefined) {
        group.run = run;
        group.failedRuns.restore(failures, failedRuns.get(key) ?? presumedFailedRuns(record));
        group.saved = saved;
        crashes.forEach(([index, crashRecord]) => {
          const member = group.members.find((each) => each.index === index);
          if (member !== undefined) {
            member.crashes = CrashHistory.restore(crashRecord);
            this.crashes.register(group, member);
          }
        });
        this.restorePlacement(group, runnerIds, processStarts, leasesExtendedUntil, now);
      }
    });
  }

  // Restored members stay in the state `starting` until a report of their runner, or until the end
  // of the lease that the previous scheduling instance may have extended just before the takeover.
  private restorePlacement(
    group: TaskGroup,
    runnerIds: readonly (string | null)[],
    processStarts: readonly (number | null)[],
    leasesExtendedUntil: number,
    now: number,
  ): void {
    if (runnerIds.every((runnerId) => runnerId === null)) {
      return;
    }
    group.apply('requestStart');
    group.startRequestedAt = now;
    group.isRestored = true;
    group.members.forEach((member, position) => {
      const runnerId = runnerIds[position] ?? undefined;
      if (runnerId === undefined) {
        member.state = MemberState.ended;
        return;
      }
      const startedAt = processStarts[position] ?? 0;
      const runner =
        this.state.runners.get(runnerId) ?? this.addMissingRunner(group, runnerId, startedAt);
      placeMember(group, member, runner, RunHistory.forTakeover(now));
      // The listing may be older than the incarnation that the run was started on.
      member.processStartedAt = startedAt === 0 ? member.processStartedAt : startedAt;
      extendLease(runner, this.state.bounds, leasesExtendedUntil);
    });
    if (group.members.some((member) => member.state === MemberState.ended)) {
      this.lifecycle.abort(group, 'a member had ended before the takeover', now);
    }
  }

  private addMissingRunner(group: TaskGroup, id: string, processStartedAt: number): Runner {
    const runner = new Runner({
      id,
      address: '',
      service: group.job.queue.service,
      dataCentre: '',
      rack: '',
      labels: [],
      capacity: { cpu: 0, memoryMb: 0, accelerators: 0 },
      isDraining: false,
      processStartedAt,
    });
    runner.isListed = false;
    this.state.runners.set(id, runner);
    return runner;
  }
}
