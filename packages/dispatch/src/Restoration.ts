import type { DispatchState } from './DispatchState.js';
import type { JobRun } from './JobRun.js';
import type { ProgressRecord } from './ProgressRecord.js';
import { extendLease, Runner } from './Runner.js';
import type { Unit } from './Unit.js';
import { MemberState } from './Unit.js';
import type { UnitLifecycle } from './UnitLifecycle.js';
import { placeMember } from './UnitLifecycle.js';

/** Rebuilds the progress of jobs at a takeover. */
export class Restoration {
  public constructor(
    private readonly state: DispatchState,
    private readonly lifecycle: UnitLifecycle,
  ) {}

  /** Takes over what the store tells of a job's progress. */
  public restore(job: JobRun, progress: ProgressRecord, now: number): void {
    job.state = progress.state;
    job.hasStarted = progress.hasStarted;
    if (job.isOver) {
      job.endedAt = now;
      return;
    }
    while (job.createdOccurrences < progress.occurrences) {
      job.createDueUnits(job.dueAt(job.createdOccurrences));
    }
    progress.done.forEach((key) => {
      const unit = job.units.get(key);
      if (unit !== undefined) {
        unit.restoreDone();
      }
    });
    progress.units.forEach(([key, run, failures, saved, runnerIds]) => {
      const unit = job.units.get(key);
      if (unit !== undefined) {
        unit.run = run;
        unit.failures = failures;
        unit.saved = saved;
        this.restorePlaces(unit, runnerIds, now);
      }
    });
  }

  // Members wait for the report of their runner, or for the end of the lease that the former
  // scheduler may have extended until just now.
  private restorePlaces(unit: Unit, runnerIds: readonly (string | null)[], now: number): void {
    if (runnerIds.every((runnerId) => runnerId === null)) {
      return;
    }
    unit.apply('order');
    unit.orderedAt = now;
    unit.members.forEach((member, position) => {
      const runnerId = runnerIds[position] ?? undefined;
      if (runnerId === undefined) {
        member.state = MemberState.over;
        return;
      }
      const runner = this.state.runners.get(runnerId) ?? this.addMissingRunner(unit, runnerId);
      placeMember(unit, member, runner);
      member.settledAt = now;
      extendLease(runner, this.state.bounds, now);
    });
    if (unit.members.some((member) => member.state === MemberState.over)) {
      this.lifecycle.abort(unit, 'a member had ended before the takeover', now);
    }
  }

  private addMissingRunner(unit: Unit, id: string): Runner {
    const runner = new Runner({
      id,
      address: '',
      service: unit.job.queue.service,
      dataCentre: '',
      rack: '',
      labels: [],
      capacity: { cpu: 0, memoryMb: 0, accelerators: 0 },
      isDraining: false,
      bornAt: 0,
    });
    runner.isListed = false;
    this.state.runners.set(id, runner);
    return runner;
  }
}
