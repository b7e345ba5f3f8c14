import type { CreditLoss } from './CreditLedger.js';
import { earnedShare, windowMs } from './CreditLedger.js';
import type { ExperimentJob, ExperimentResult } from './runExperiment.js';
import type { UsageLoss } from './UsageLedger.js';

/** Credit earned, as means over all seeds of the shares of the credit owed. */
export interface CreditSummary {
  readonly load: string;
  readonly policy: string;
  readonly factor: number;
  readonly earned: number;
  /** Standard error of `earned` over the seeds. */
  readonly earnedError: number;
  readonly earnedByQueue: Readonly<Record<string, number>>;
  /** By window of arrival, in order of time. */
  readonly earnedByWindow: readonly number[];
}

/** Means over all seeds of a load and a policy; shares of the credit owed or of the accelerators. */
export interface ExperimentSummary extends CreditSummary {
  readonly earnedBySize: Readonly<Record<string, number>>;
  readonly earnedByAccount: Readonly<Record<string, number>>;
  readonly worstWindows: readonly [worst: number, second: number];
  readonly lost: Readonly<Record<CreditLoss, number>>;
  readonly idle: number;
  readonly reserved: number;
  /** Shares of the accelerator-seconds of all runs. */
  readonly used: number;
  readonly usageLost: Readonly<Record<UsageLoss, number>>;
  readonly preemptedRuns: number;
  readonly youngPreemptedRuns: number;
  readonly meanStepMs: number;
  readonly p99StepMs: number;
  /** Share of the accelerators that are occupied, by second since the load began. */
  readonly occupiedBySecond: readonly number[];
}

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function standardError(values: readonly number[]): number {
  const center = mean(values);
  const variance = values.reduce((sum, value) => sum + (value - center) ** 2, 0);
  return values.length < 2 ? 0 : Math.sqrt(variance / (values.length - 1) / values.length);
}

/** Key that sorts windows by time. */
function windowKey(from: number): string {
  return `window-${String(from).padStart(8, '0')}`;
}

/** Means by key over the records that have the key. */
export function meanRecord<Key extends string>(
  records: readonly Readonly<Record<Key, number>>[],
): Record<Key, number> {
  const keys = [...new Set(records.flatMap((record) => Object.keys(record) as Key[]))].sort();
  const entries = keys.map((key) => [
    key,
    mean(records.map((record) => record[key]).filter((value) => value !== undefined)),
  ]);
  return Object.fromEntries(entries) as Record<Key, number>;
}

function scale<Key extends string>(
  record: Record<Key, number>,
  total: number,
): Record<Key, number> {
  const entries = Object.entries<number>(record).map(([key, value]) => [key, value / total]);
  return Object.fromEntries(entries) as Record<Key, number>;
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0;
}

/** Summarizes the replays of one load and policy with several seeds. */
export function summarize(
  load: string,
  policy: string,
  factor: number,
  results: readonly ExperimentResult[],
): ExperimentSummary {
  const credits = results.map(({ credit }) => credit);
  const usages = results.map(({ usage }) => usage);
  const earned = credits.map(({ total }) => earnedShare(total));
  const stepMs = results.flatMap((result) => result.stepMs);
  const sharesOf = (group: 'byQueue' | 'bySize' | 'byAccount'): Record<string, number> =>
    meanRecord(
      credits.map((credit) =>
        Object.fromEntries([...credit[group]].map(([key, sums]) => [key, earnedShare(sums)])),
      ),
    );
  const windows = meanRecord(
    credits.map((credit) =>
      Object.fromEntries(credit.windows.map(({ from, share }) => [windowKey(from), share])),
    ),
  );
  const runSeconds = usages.map(({ used, lost }) =>
    Object.values(lost).reduce((sum, value) => sum + value, used),
  );
  return {
    load,
    policy,
    factor,
    earned: mean(earned),
    earnedError: standardError(earned),
    earnedByQueue: sharesOf('byQueue'),
    earnedBySize: sharesOf('bySize'),
    earnedByAccount: sharesOf('byAccount'),
    worstWindows: [
      mean(credits.map((credit) => credit.worstWindows[0]?.share ?? 1)),
      mean(credits.map((credit) => credit.worstWindows[1]?.share ?? 1)),
    ],
    earnedByWindow: Object.values(windows),
    lost: meanRecord(credits.map(({ total }) => scale(total.lost, total.owed))),
    idle: mean(usages.map(({ idle, capacity }) => idle / capacity)),
    reserved: mean(usages.map(({ reserved, capacity }) => reserved / capacity)),
    used: mean(usages.map(({ used }, index) => used / (runSeconds[index] as number))),
    usageLost: meanRecord(
      usages.map(({ lost }, index) => scale(lost, runSeconds[index] as number)),
    ),
    preemptedRuns: mean(usages.map(({ preemptedRuns }) => preemptedRuns)),
    youngPreemptedRuns: mean(usages.map(({ youngPreemptedRuns }) => youngPreemptedRuns)),
    meanStepMs: mean(stepMs),
    p99StepMs: percentile(stepMs, 0.99),
    occupiedBySecond: (usages[0]?.occupiedBySecond ?? []).map((_share, second) =>
      mean(usages.map(({ occupiedBySecond }) => occupiedBySecond[second] ?? 0)),
    ),
  };
}

function shareBy(
  jobs: readonly ExperimentJob[],
  credits: readonly number[],
  keyOf: (job: ExperimentJob) => string | undefined,
): Record<string, number> {
  const sums = new Map<string, { owed: number; earned: number }>();
  jobs.forEach((job, index) => {
    const key = keyOf(job);
    if (key !== undefined) {
      const { owed, earned } = sums.get(key) ?? { owed: 0, earned: 0 };
      sums.set(key, { owed: owed + job.credit[0], earned: earned + (credits[index] ?? 0) });
    }
  });
  return Object.fromEntries([...sums].map(([key, { owed, earned }]) => [key, earned / owed]));
}

/**
 * Summarizes the upper bound of a load.
 *
 * @param beginsAt virtual time at which the load begins
 * @param seeds jobs of each seed and their credit in the schedule that attains the bound
 */
export function summarizeBound(
  load: string,
  factor: number,
  beginsAt: number,
  seeds: readonly (readonly [jobs: readonly ExperimentJob[], credits: readonly number[]])[],
): CreditSummary {
  const means = (keyOf: (job: ExperimentJob) => string | undefined): Record<string, number> =>
    meanRecord(seeds.map(([jobs, credits]) => shareBy(jobs, credits, keyOf)));
  const earned = seeds.map(([jobs, credits]) => shareBy(jobs, credits, () => 'all').all ?? 1);
  const windowOf = ({ arrival: { at } }: ExperimentJob): string | undefined =>
    at < beginsAt ? undefined : windowKey(Math.floor((at - beginsAt) / windowMs) * windowMs);
  return {
    load,
    policy: 'upper bound',
    factor,
    earned: mean(earned),
    earnedError: standardError(earned),
    earnedByQueue: means(({ arrival }) => arrival.queue),
    earnedByWindow: Object.values(means(windowOf)),
  };
}
