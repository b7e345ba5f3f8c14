/** Why credit was lost. */
export const CreditLoss = {
  /** The job waited too long for capacity. */
  waited: 'waited',
  /** The same, after at least one of its runs was preempted. */
  preempted: 'preempted',
  /** Its runs alone took longer than its objective: slow runners, several racks. */
  slow: 'slow',
  /** The caller gave up after its last refusal. */
  refused: 'refused',
  failed: 'failed',
} as const;
export type CreditLoss = (typeof CreditLoss)[keyof typeof CreditLoss];

/** Size of a job among the jobs of its queue, by core-seconds. */
export const SizeClass = {
  largest: 'largest tenth',
  large: 'fifth below',
  rest: 'rest',
} as const;
export type SizeClass = (typeof SizeClass)[keyof typeof SizeClass];

/** A job and what became of it, as its caller sees it. */
export interface CreditEntry {
  readonly queue: string;
  readonly account: string;
  /** Time of the first submission in milliseconds since the load began. */
  readonly arrivedAt: number;
  /** Credit for a completion in time, and for a late one. */
  readonly credit: readonly [inTime: number, late: number];
  readonly coreSeconds: number;
  readonly objectiveMs: number;
  /** Time from the first submission to the completion; undefined if it was not completed. */
  readonly responseMs?: number;
  /** Part of the response during which it was ready to run and did not run. */
  readonly waitedMs: number;
  readonly preemptions: number;
  readonly isRefused: boolean;
  readonly hasFailed: boolean;
}

/** Credit of a group of jobs: `owed` is the sum of all other amounts. */
export interface CreditSums {
  jobs: number;
  owed: number;
  inTime: number;
  late: number;
  lost: Record<CreditLoss, number>;
}

/** Credit of five seconds of arrivals. */
export interface CreditWindow {
  readonly from: number;
  /** Earned part of the credit owed. */
  readonly share: number;
  readonly owed: number;
}

/** Multiple of its objective up to which a late job has value, by the service requirements. */
export const lateLimitFactor = 3;
const msPerSecond = 1_000;
export const windowMs = 5_000;
const largestShare = 0.1;
const largeShare = 0.3;

function emptySums(): CreditSums {
  return {
    jobs: 0,
    owed: 0,
    inTime: 0,
    late: 0,
    lost: { waited: 0, preempted: 0, slow: 0, refused: 0, failed: 0 },
  };
}

export function earnedShare({ owed, inTime, late }: CreditSums): number {
  return owed === 0 ? 1 : (inTime + late) / owed;
}

/** Cause of the loss of a job that was not completed in time. */
export function findLoss(entry: CreditEntry): CreditLoss {
  if (entry.isRefused) {
    return CreditLoss.refused;
  }
  if (entry.hasFailed) {
    return CreditLoss.failed;
  }
  if (entry.preemptions > 0) {
    return CreditLoss.preempted;
  }
  const ranMs = (entry.responseMs ?? Infinity) - entry.waitedMs;
  return entry.responseMs !== undefined && ranMs > entry.objectiveMs
    ? CreditLoss.slow
    : CreditLoss.waited;
}

function record(sums: CreditSums, entry: CreditEntry): void {
  const [inTime, late] = entry.credit;
  const { responseMs = Infinity, objectiveMs } = entry;
  sums.jobs += 1;
  sums.owed += inTime;
  if (responseMs <= objectiveMs) {
    sums.inTime += inTime;
    return;
  }
  const earned = responseMs <= lateLimitFactor * objectiveMs ? late : 0;
  sums.late += earned;
  sums.lost[findLoss(entry)] += inTime - earned;
}

/** Credit owed, earned and lost by the jobs of a replay. */
export class CreditLedger {
  public readonly total = emptySums();

  public readonly byQueue = new Map<string, CreditSums>();

  /** By `queue, size class`. */
  public readonly bySize = new Map<string, CreditSums>();

  public readonly byAccount = new Map<string, CreditSums>();

  /** By second of arrival; those before the load began are negative. */
  public readonly bySecond = new Map<number, CreditSums>();

  public constructor(entries: readonly CreditEntry[]) {
    const sizes = classifySizes(entries);
    entries.forEach((entry) => {
      record(this.total, entry);
      record(sumsOf(this.byQueue, entry.queue), entry);
      record(sumsOf(this.bySize, `${entry.queue}, ${sizes.get(entry)}`), entry);
      record(sumsOf(this.byAccount, entry.account), entry);
      record(sumsOf(this.bySecond, Math.floor(entry.arrivedAt / msPerSecond)), entry);
    });
  }

  /** All sums as a plain record, for JSON. */
  public toRecord(): Record<string, unknown> {
    const { total, byQueue, bySize, byAccount, bySecond } = this;
    const groups = { byQueue, bySize, byAccount, bySecond };
    const entries = Object.entries(groups).map(([name, sums]) => [name, Object.fromEntries(sums)]);
    return { total, ...Object.fromEntries(entries) };
  }

  /** Windows of arrivals since the load began, in order of time. */
  public get windows(): CreditWindow[] {
    const windows = new Map<number, { owed: number; earned: number }>();
    this.bySecond.forEach(({ owed, inTime, late }, second) => {
      if (second < 0) {
        return;
      }
      const from = Math.floor((second * msPerSecond) / windowMs) * windowMs;
      const sums = windows.get(from) ?? { owed: 0, earned: 0 };
      windows.set(from, { owed: sums.owed + owed, earned: sums.earned + inTime + late });
    });
    return [...windows]
      .map(([from, { owed, earned }]) => ({ from, owed, share: owed === 0 ? 1 : earned / owed }))
      .sort((left, right) => left.from - right.from);
  }

  /** The two windows with the lowest earned share, worst first. */
  public get worstWindows(): CreditWindow[] {
    return this.windows.sort((left, right) => left.share - right.share).slice(0, 2);
  }
}

function sumsOf<Key>(groups: Map<Key, CreditSums>, key: Key): CreditSums {
  const sums = groups.get(key) ?? emptySums();
  groups.set(key, sums);
  return sums;
}

/** Size class of each job among those of its queue. */
export function classifySizes(entries: readonly CreditEntry[]): Map<CreditEntry, SizeClass> {
  const classes = new Map<CreditEntry, SizeClass>();
  new Set(entries.map(({ queue }) => queue)).forEach((queue) => {
    const sorted = entries
      .filter((entry) => entry.queue === queue)
      .sort((left, right) => right.coreSeconds - left.coreSeconds);
    sorted.forEach((entry, index) => {
      const position = index / sorted.length;
      const below = position < largeShare ? SizeClass.large : SizeClass.rest;
      classes.set(entry, position < largestShare ? SizeClass.largest : below);
    });
  });
  return classes;
}
