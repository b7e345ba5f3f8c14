import type { DispatchState } from './DispatchState.js';
import { paceKey } from './Experience.js';
import type { ReportReader } from './ReportReader.js';
import type { ListedRunner } from './Runner.js';
import { Runner } from './Runner.js';

/**
 * Milliseconds for which a missing entry changes nothing: entries that lapsed while the registry was
 * away are back within this time.
 */
const unlistedGraceMs = 2_000;

/** Takes the listings of the registry into the state. */
export class RunnerListing {
  private readonly missingSince = new Map<string, number>();

  public constructor(
    private readonly state: DispatchState,
    private readonly reports: ReportReader,
  ) {}

  /** Takes a listing in whole. */
  public take(listed: readonly ListedRunner[], now: number): void {
    const ids = new Set(listed.map((entry) => entry.id));
    listed.forEach((entry) => this.takeEntry(entry, now));
    this.missingSince.forEach((_since, id) => {
      if (!this.state.runners.has(id)) {
        this.missingSince.delete(id);
      }
    });
    this.state.runners.forEach((runner) => {
      if (!ids.has(runner.id) && runner.isListed) {
        this.noteMissing(runner, now);
      }
    });
  }

  private noteMissing(runner: Runner, now: number): void {
    const since = this.missingSince.get(runner.id) ?? now;
    this.missingSince.set(runner.id, since);
    if (now - since >= unlistedGraceMs) {
      runner.isListed = false;
      this.state.log.decide('runnerUnlisted', { runner: runner.id });
    }
  }

  private takeEntry(entry: ListedRunner, now: number): void {
    const { log, runners } = this.state;
    this.missingSince.delete(entry.id);
    const known = runners.get(entry.id);
    if (known === undefined) {
      runners.set(entry.id, this.createRunner(entry));
      log.decide('runnerListed', { runner: entry.id, rack: entry.rack, address: entry.address });
      return;
    }
    const knownBornAt = known.listed.bornAt;
    if (knownBornAt !== 0 && entry.bornAt > knownBornAt) {
      this.reports.restart(known, entry.bornAt);
    }
    if (entry.isDraining && !known.listed.isDraining) {
      known.leavesAt = now + (entry.staysForMs ?? Infinity);
      log.decide('runnerDraining', { runner: entry.id, staysForMs: entry.staysForMs });
    }
    if (!entry.isDraining) {
      known.leavesAt = Infinity;
    }
    known.isListed = true;
    if (entry.bornAt >= knownBornAt) {
      known.listed = entry;
    }
  }

  private createRunner(entry: ListedRunner): Runner {
    const runner = new Runner(entry);
    const key = paceKey(entry.id, entry.bornAt);
    const formerPace = this.state.formerPaces.get(key);
    if (formerPace !== undefined) {
      runner.pace.restore(formerPace);
      this.state.formerPaces.delete(key);
    }
    return runner;
  }
}
