import type { ListedRunner } from './ListedRunner.js';
import { smallest } from './Resources.js';

/** What an entry of the registry means for a runner. */
export const EntryVerdict = {
  /** It describes the incarnation that is known. */
  matching: 'matching',
  /** It differs in what does not change during the life of a runner; another writer may have written it. */
  deviating: 'deviating',
  /** It differs in the capacity only. */
  resized: 'resized',
  /** It names another incarnation: the runner has to be asked. */
  claimed: 'claimed',
  /** It says nothing new: of a former incarnation, or refuted by the runner, or being asked about. */
  ignored: 'ignored',
} as const;
export type EntryVerdict = (typeof EntryVerdict)[keyof typeof EntryVerdict];

/** Entry that names another incarnation, until a report settles which one runs. */
interface IncarnationClaim {
  readonly entry: ListedRunner;
  /** Monotonic time; a report that was requested later settles it. */
  readonly madeAt: number;
  /** Starts of all incarnations named since the last report. */
  readonly starts: readonly number[];
}

/** A claim that a report has confirmed or refuted. */
export interface SettledClaim {
  readonly entry: ListedRunner;
  readonly madeAt: number;
  readonly isConfirmed: boolean;
}

/** Largest number of incarnations that may come and go between two reports. */
const maxStarts = 8;

/**
 * What is known of the incarnation of a runner, and from whom. Anyone may write an entry; only a report
 * says which incarnation runs, and only a response from an address that the runner is there.
 */
export class RunnerIdentity {
  /** Whether the runner itself has reported; until then the newest entry counts. */
  public isConfirmed = false;

  private claim: IncarnationClaim | undefined;

  private refuted: ListedRunner | undefined;

  /** Start of the incarnation before the present one. */
  private formerStart: number | undefined;

  /** Entry with the properties that are in force. */
  private established: ListedRunner;

  private deviating: ListedRunner | undefined;

  public constructor(entry: ListedRunner) {
    this.established = entry;
  }

  /** Whether an entry names another incarnation and the runner has not been heard since. */
  public get isInDoubt(): boolean {
    return this.claim !== undefined;
  }

  /**
   * Judges an entry of a new listing.
   *
   * @param isSilent whether the last call of the runner was not answered
   */
  public judge(
    entry: ListedRunner,
    known: ListedRunner,
    isSilent: boolean,
    now: number,
  ): EntryVerdict {
    if (!this.isConfirmed) {
      return this.establish(entry);
    }
    if (entry.processStartedAt !== 0 && entry.processStartedAt !== known.processStartedAt) {
      return this.judgeClaim(entry, isSilent, now);
    }
    this.claim = undefined;
    // A runner writes its entry again and again.
    const isRepeated =
      entry.revision === undefined ||
      (this.deviating !== undefined &&
        hasSameProperties(entry, this.deviating) &&
        entry.revision !== this.deviating.revision);
    if (
      this.established.processStartedAt !== entry.processStartedAt ||
      hasSameProperties(entry, this.established) ||
      isRepeated
    ) {
      return this.establish(entry);
    }
    if (this.deviating !== undefined && hasSameProperties(entry, this.deviating)) {
      return EntryVerdict.ignored;
    }
    this.deviating = entry;
    const { capacity } = this.established;
    return hasSameProperties({ ...entry, capacity }, this.established)
      ? EntryVerdict.resized
      : EntryVerdict.deviating;
  }

  /**
   * Settles a claim by a report.
   *
   * @returns the entry that the report has confirmed or refuted, if any
   */
  public settle(startedAt: number, address: string, requestedAt: number): SettledClaim | undefined {
    this.isConfirmed = true;
    if (this.claim === undefined) {
      return undefined;
    }
    const { entry, madeAt } = this.claim;
    if (entry.processStartedAt === startedAt && entry.address === address) {
      this.establish(entry);
      return { entry, madeAt, isConfirmed: true };
    }
    if (requestedAt <= madeAt) {
      return undefined;
    }
    this.claim = undefined;
    this.refuted = entry;
    return { entry, madeAt, isConfirmed: false };
  }

  /** Starts of incarnations that were named between two known ones, the earliest first. */
  public startsBetween(former: number, present: number): number[] {
    const starts = this.claim?.starts ?? [];
    return starts.filter((start) => start > former && start < present);
  }

  public recordRestart(formerStart: number): void {
    this.formerStart = formerStart;
  }

  /** Entry with another address at which the runner may be found if it does not answer. */
  public elsewhere(address: string): ListedRunner | undefined {
    const entries = [this.claim?.entry, this.deviating, this.established];
    return entries.find((entry) => entry !== undefined && entry.address !== address);
  }

  /** Capacity that exceeds no entry of the present incarnation. */
  public limitCapacity(entry: ListedRunner): ListedRunner['capacity'] {
    return smallest(this.established.capacity, entry.capacity);
  }

  private judgeClaim(entry: ListedRunner, isSilent: boolean, now: number): EntryVerdict {
    const isRefuted = this.refuted !== undefined && isSameClaim(entry, this.refuted) && !isSilent;
    const isPending = this.claim !== undefined && isSameClaim(entry, this.claim.entry);
    if (entry.processStartedAt === this.formerStart || isRefuted || isPending) {
      return EntryVerdict.ignored;
    }
    const starts = [...(this.claim?.starts ?? []), entry.processStartedAt].slice(-maxStarts);
    this.claim = { entry, madeAt: now, starts };
    return EntryVerdict.claimed;
  }

  private establish(entry: ListedRunner): EntryVerdict {
    this.established = entry;
    this.claim = undefined;
    this.deviating = undefined;
    return EntryVerdict.matching;
  }
}

function isSameClaim(entry: ListedRunner, other: ListedRunner): boolean {
  return entry.processStartedAt === other.processStartedAt && entry.address === other.address;
}

/** Compares what does not change during the life of a runner, and its capacity. */
function hasSameProperties(entry: ListedRunner, other: ListedRunner): boolean {
  return describe(entry) === describe(other);
}

function describe({ address, service, dataCentre, labels, capacity }: ListedRunner): string {
  const { cpu, memoryMb, accelerators } = capacity;
  return JSON.stringify([address, service, dataCentre, labels, cpu, memoryMb, accelerators]);
}
