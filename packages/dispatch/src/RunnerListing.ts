import { describeContradiction } from './contradictions.js';
import type { DispatchState } from './DispatchState.js';
import { incarnationKey } from './LearnedState.js';
import type { ListedRunner } from './ListedRunner.js';
import type { ReportHandler } from './ReportHandler.js';
import { Runner } from './Runner.js';
import { EntryVerdict } from './RunnerIdentity.js';
import { updateSpeedClasses } from './SpeedClasses.js';

/**
 * Milliseconds for which a missing entry is ignored. Entries that expired while the registry was
 * unavailable reappear within this time.
 */
const unlistedGraceMs = 2_000;

type EntryApplier = (runner: Runner, entry: ListedRunner, requestedAt: number) => void;

/** Applies the listings of the registry to the state. */
export class RunnerListing {
  /** Monotonic times of the first listings without a readable entry, by runner. */
  private readonly missingSince = new Map<string, number>();

  /** Monotonic time of the request for the listing before. */
  private formerRequestedAt = -Infinity;

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
    this.formerRequestedAt = requestedAt;
    this.missingSince.forEach((_since, id) => {
      if (!this.state.runners.has(id)) {
        this.missingSince.delete(id);
      }
    });
    this.state.runners.forEach((runner) => {
      const isUnreadable = unreadableIds.has(runner.id);
      if (ids.has(runner.id) || !runner.isListed) {
        return;
      }
      if (isUnreadable && runner.isFenced && runner.unansweredCalls === 0) {
        holdUnreadable(runner);
      } else {
        this.recordMissing(runner, isUnreadable, now);
      }
    });
    updateSpeedClasses(this.state);
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
    known.isListed = true;
    const { identity, listed } = known;
    const verdict = identity.judge(entry, listed, known.unansweredCalls > 0, now);
    this.appliers[verdict](known, entry, requestedAt);
    if (known.listed.processStartedAt !== listed.processStartedAt) {
      known.incarnationKnownAt = now;
    }
  }

  private readonly appliers: Record<EntryVerdict, EntryApplier> = {
    [EntryVerdict.matching]: (runner, entry, requestedAt) => {
      // Runs stay at the address from which the runner has reported.
      const { address } = runner.identity.isConfirmed ? runner.listed : entry;
      this.applyState(runner, { ...entry, address }, requestedAt);
    },
    [EntryVerdict.resized]: (runner, entry, requestedAt) => {
      this.logDeviation(runner, entry);
      const capacity = runner.identity.limitCapacity(entry);
      const { address } = runner.listed;
      this.applyState(runner, { ...entry, address, capacity }, requestedAt);
    },
    [EntryVerdict.deviating]: (runner, entry) => {
      this.logDeviation(runner, entry);
      runner.listed = { ...runner.listed, capacity: runner.identity.limitCapacity(entry) };
    },
    [EntryVerdict.claimed]: (runner) => {
      runner.isFenced = false;
    },
    [EntryVerdict.ignored]: () => {},
  };

  private applyState(runner: Runner, entry: ListedRunner, requestedAt: number): void {
    if (runner.applyEntry(entry, requestedAt, this.formerRequestedAt)) {
      const { minRemainingMs } = entry;
      this.state.log.decide('runnerDraining', { runner: entry.id, minRemainingMs });
    }
  }

  private logDeviation(runner: Runner, entry: ListedRunner): void {
    this.state.counters.contradictoryEntries += 1;
    this.state.log.decide('entryContradicted', describeContradiction(runner.listed, entry));
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

// A runner whose entry another writer has overwritten keeps its runs as long as it answers.
function holdUnreadable(runner: Runner): void {
  runner.isEntryOutdated = true;
  runner.isReportDue = true;
}
