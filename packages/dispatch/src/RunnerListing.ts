import type { DispatchState } from './DispatchState.js';
import { incarnationKey } from './LearnedState.js';
import type { ListedRunner } from './ListedRunner.js';
import type { ReportHandler } from './ReportHandler.js';
import { Runner } from './Runner.js';
import { updateSpeedClasses } from './SpeedClasses.js';

/**
 * Milliseconds for which a missing entry is ignored. Entries that expired while the registry was
 * unavailable reappear within this time.
 */
const unlistedGraceMs = 2_000;

/** Applies the listings of the registry to the state. */
export class RunnerListing {
  /** Monotonic times of the first listings without a readable entry, by runner. */
  private readonly missingSince = new Map<string, number>();

  /** Monotonic time at which the previous listing was requested. */
  private previousRequestedAt = -Infinity;

  public constructor(
    private readonly state: DispatchState,
    private readonly reportHandler: ReportHandler,
  ) {}

  /**
   * Applies a complete listing that was requested at `requestedAt`.
   *
   * @param unreadableIds runners whose entries cannot be read; they are not used
   */
  public apply(
    listed: readonly ListedRunner[],
    unreadableIds: ReadonlySet<string>,
    requestedAt: number,
    now: number,
  ): void {
    const ids = new Set(listed.map((entry) => entry.id));
    listed.forEach((entry) => this.applyEntry(entry, requestedAt, now));
    this.missingSince.forEach((_since, id) => {
      if (!this.state.runners.has(id)) {
        this.missingSince.delete(id);
      }
    });
    this.state.runners.forEach((runner) => {
      if (!ids.has(runner.id) && runner.isListed) {
        this.recordMissing(runner, unreadableIds.has(runner.id), now);
      }
    });
    updateSpeedClasses(this.state);
    this.previousRequestedAt = requestedAt;
  }

  // Says nothing about the runs of the runner, which end by its reports or with its leases.
  private recordMissing(runner: Runner, isUnreadable: boolean, now: number): void {
    const since = this.missingSince.get(runner.id) ?? now;
    this.missingSince.set(runner.id, since);
    if (now - since >= unlistedGraceMs) {
      runner.isListed = false;
      this.state.log.decide('runnerUnlisted', {
        runner: runner.id,
        isLeaving: runner.isLeaving,
        isUnreadable,
        tasks: runner.occupants.size,
      });
    }
  }

  private applyEntry(entry: ListedRunner, requestedAt: number, now: number): void {
    const { log, runners } = this.state;
    this.missingSince.delete(entry.id);
    const known = runners.get(entry.id);
    if (known === undefined) {
      runners.set(entry.id, this.createRunner(entry));
      log.decide('runnerListed', {
        runner: entry.id,
        rack: entry.rack,
        address: entry.address,
        startedAt: entry.processStartedAt,
      });
      return;
    }
    const knownStartedAt = known.listed.processStartedAt;
    if (knownStartedAt !== 0 && entry.processStartedAt > knownStartedAt) {
      this.reportHandler.restart(known, entry.processStartedAt, now);
    }
    if (entry.isDraining && !known.listed.isDraining) {
      const minRemainingMs = entry.minRemainingMs ?? Infinity;
      known.departsAt = requestedAt + minRemainingMs;
      known.mayDepartAt = this.previousRequestedAt + minRemainingMs;
      log.decide('runnerDraining', { runner: entry.id, minRemainingMs: entry.minRemainingMs });
    }
    if (entry.isDraining) {
      known.drainedIncarnation = entry.processStartedAt;
    } else {
      known.departsAt = Infinity;
      known.mayDepartAt = Infinity;
    }
    known.isListed = true;
    if (entry.processStartedAt >= knownStartedAt) {
      known.listed = entry;
      known.isEntryOutdated = false;
    }
  }

  private createRunner(entry: ListedRunner): Runner {
    const runner = new Runner(entry);
    const key = incarnationKey(entry.id, entry.processStartedAt);
    const inheritedSpeed = this.state.inheritedSpeeds.get(key);
    if (inheritedSpeed !== undefined) {
      runner.speed.restore(inheritedSpeed);
      this.state.inheritedSpeeds.delete(key);
    }
    return runner;
  }
}
