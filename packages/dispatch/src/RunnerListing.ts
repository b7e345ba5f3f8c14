import { describeContradiction } from './contradictions.js';
import { hasDeparted } from './departure.js';
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

/** How long the listings have lacked an entry; monotonic times. */
interface Absence {
  /** First listing without a readable entry. */
  readonly since: number;
  /** First listing without any entry; Infinity while an unreadable one is left. */
  removedBefore: number;
}

type EntryApplier = (runner: Runner, entry: ListedRunner, requestedAt: number) => void;

/** Applies the listings of the registry to the state. */
export class RunnerListing {
  private readonly absences = new Map<string, Absence>();

  public constructor(
    private readonly state: DispatchState,
    private readonly reportHandler: ReportHandler,
  ) {}

  /**
   * Applies a complete listing that was requested at `requestedAt`.
   *
   * @param unreadableIds runners whose entries cannot be read; they are not used, and have not left
   */
  public apply(
    listed: readonly ListedRunner[],
    unreadableIds: ReadonlySet<string>,
    requestedAt: number,
    now: number,
  ): void {
    const ids = new Set(listed.map((entry) => entry.id));
    listed.forEach((entry) => this.applyEntry(entry, requestedAt, now));
    this.absences.forEach((_absence, id) => {
      if (!this.state.runners.has(id)) {
        this.absences.delete(id);
      }
    });
    this.state.runners.forEach((runner) => {
      if (!ids.has(runner.id) && runner.isListed) {
        this.recordMissing(runner, unreadableIds.has(runner.id), now);
      }
    });
    updateSpeedClasses(this.state);
  }

  private recordMissing(runner: Runner, isUnreadable: boolean, now: number): void {
    const absence = this.absences.get(runner.id) ?? { since: now, removedBefore: Infinity };
    this.absences.set(runner.id, absence);
    if (!isUnreadable) {
      absence.removedBefore = Math.min(absence.removedBefore, now);
    }
    const isDeparted = hasDeparted(runner, absence.removedBefore, this.state.bounds);
    if (isDeparted || now - absence.since >= unlistedGraceMs) {
      runner.isListed = false;
      this.logMissing(runner, absence, isDeparted, now);
    }
    if (isDeparted) {
      this.reportHandler.endDepartedRuns(runner, now);
    }
  }

  private logMissing(
    runner: Runner,
    { removedBefore }: Absence,
    isDeparted: boolean,
    now: number,
  ): void {
    const { disconnectedAt, entryWrittenAfter } = runner;
    this.state.log.decide('runnerUnlisted', {
      runner: runner.id,
      hasDeparted: isDeparted,
      isLeaving: runner.isLeaving,
      isUnreadable: removedBefore === Infinity,
      entryAgeMs: roundedAge(entryWrittenAfter, removedBefore),
      disconnectedMs: roundedAge(disconnectedAt, now),
    });
  }

  private applyEntry(entry: ListedRunner, requestedAt: number, now: number): void {
    const { log, runners } = this.state;
    this.absences.delete(entry.id);
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
    if (runner.applyEntry(entry, requestedAt)) {
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
    recordWrite(runner, entry);
    const key = incarnationKey(entry.id, entry.processStartedAt);
    const inheritedSpeed = this.state.inheritedSpeeds.get(key);
    if (inheritedSpeed !== undefined) {
      runner.speed.restore(inheritedSpeed);
      this.state.inheritedSpeeds.delete(key);
    }
    return runner;
  }
}

function recordWrite(runner: Runner, { writtenAfter = -Infinity }: ListedRunner): void {
  runner.entryWrittenAfter = Math.max(runner.entryWrittenAfter, writtenAfter);
}

/** Whole milliseconds from one monotonic time to another; undefined if one of them is not known. */
function roundedAge(from: number | undefined, to: number): number | undefined {
  const ageMs = from === undefined ? Infinity : Math.round(to - from);
  return Number.isFinite(ageMs) ? ageMs : undefined;
}
