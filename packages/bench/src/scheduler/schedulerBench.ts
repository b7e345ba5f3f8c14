import { acceleratorsOf } from '@apricothoist/scheduler';

import { formatTable } from '../formatTable.js';
import { writeResult } from '../writeResult.js';
import { BaselinePolicy, BaselineReplay } from './BaselineReplay.js';
import { measureDecisionCost } from './decisionCost.js';
import { measureRefusals } from './refusalBench.js';
import type { ReplayResult } from './ReplayResult.js';
import { SchedulerReplay } from './SchedulerReplay.js';
import type { Workload } from './Workload.js';
import { createTwoYearWorkload } from './twoYearWorkload.js';
import { createListaramaWorkload, createTallinnWorkload } from './workloads.js';

const seeds = [11, 12, 13];
const exampleDays = 5;
const twoYearDays = 2;
const minuteMs = 60_000;
const urgencies = ['urgent', 'normal', 'batch'] as const;

/** Results of one policy over all data centres and seeds of a workload. */
interface PolicySummary {
  readonly policy: string;
  readonly jobs: number;
  readonly unfinished: number;
  readonly meanMinutes: number;
  readonly p50Minutes: number;
  readonly p99Minutes: number;
  readonly meanMinutesByClass: Readonly<Record<string, number>>;
  readonly urgentStartP99Seconds: number;
  readonly largeWaitMeanMinutes: number;
  readonly fragmentation: number;
  readonly largeFragmentation: number;
  readonly lostAcceleratorHours: number;
  readonly refusedGuarantees: number;
  readonly decisionMs: number;
}

/** Replays each workload under every policy and prints a comparison. */
export function runSchedulerBench(print: (text: string) => void): void {
  const workloads = [
    ...seeds.map((seed) => createTallinnWorkload(exampleDays, seed)),
    ...seeds.map((seed) => createListaramaWorkload(exampleDays, seed)),
    createTwoYearWorkload(twoYearDays, seeds[0] ?? 1),
  ];
  const names = [...new Set(workloads.map((workload) => workload.name))];
  const results = names.map((name) => {
    const sameName = workloads.filter((workload) => workload.name === name);
    const figures = replayAll(sameName);
    print(formatWorkload(name, sameName, figures));
    return { name, figures };
  });
  const refusals = measureRefusals();
  print(refusals.text);
  const costs = measureDecisionCost();
  print(costs.text);
  const file = writeResult('scheduler', { results, refusals: refusals.rows, costs: costs.rows });
  print(`written to ${file}`);
}

function replayAll(workloads: readonly Workload[]): PolicySummary[] {
  const byPolicy = new Map<string, ReplayResult[]>();
  workloads.forEach((workload) => {
    workload.workers.forEach((workers, dataCentre) => {
      const jobs = workload.jobs.filter((job) => job.dataCentre === dataCentre);
      if (jobs.length === 0) {
        return;
      }
      const { configuration } = workload;
      const replays = [
        new BaselineReplay(BaselinePolicy.fifo, workers, configuration, dataCentre),
        new BaselineReplay(BaselinePolicy.backfill, workers, configuration, dataCentre),
        new SchedulerReplay(workers, configuration, dataCentre),
      ];
      replays.forEach((replay) => {
        const result = replay.run(jobs);
        byPolicy.set(result.policy, [...(byPolicy.get(result.policy) ?? []), result]);
      });
    });
  });
  return [...byPolicy].map(([policy, results]) => summarise(policy, results));
}

function summarise(policy: string, results: readonly ReplayResult[]): PolicySummary {
  const outcomes = results.flatMap((result) => result.outcomes);
  const minutes = outcomes
    .map((outcome) => (outcome.finishedAt - outcome.submittedAt) / minuteMs)
    .sort((left, right) => left - right);
  const urgentStarts = outcomes
    .filter((outcome) => outcome.urgency === 'urgent')
    .map((outcome) => (outcome.firstStartedAt - outcome.submittedAt) / 1_000)
    .sort((left, right) => left - right);
  const largest = Math.max(...outcomes.map((outcome) => outcome.accelerators));
  const large = outcomes.filter((outcome) => outcome.accelerators >= largest / 2);
  const decisions = sum(results.map((result) => result.decisions));
  return {
    policy,
    jobs: outcomes.length,
    unfinished: sum(results.map((result) => result.unfinished)),
    meanMinutes: mean(minutes),
    p50Minutes: minutes[Math.floor(minutes.length * 0.5)] ?? 0,
    p99Minutes: minutes[Math.floor(minutes.length * 0.99)] ?? 0,
    meanMinutesByClass: Object.fromEntries(
      urgencies.map((urgency) => [
        urgency,
        mean(
          outcomes
            .filter((outcome) => outcome.urgency === urgency)
            .map((outcome) => (outcome.finishedAt - outcome.submittedAt) / minuteMs),
        ),
      ]),
    ),
    urgentStartP99Seconds: urgentStarts[Math.floor(urgentStarts.length * 0.99)] ?? 0,
    largeWaitMeanMinutes: mean(
      large.map((outcome) => (outcome.firstStartedAt - outcome.submittedAt) / minuteMs),
    ),
    fragmentation: mean(results.map((result) => result.fragmentation)),
    largeFragmentation: mean(results.map((result) => result.largeFragmentation)),
    lostAcceleratorHours: sum(results.map((result) => result.lostWork)) / (60 * minuteMs),
    refusedGuarantees: sum(results.map((result) => result.refusedGuarantees)),
    decisionMs: sum(results.map((result) => result.decisionMs)) / Math.max(1, decisions),
  };
}

function formatWorkload(
  name: string,
  workloads: readonly Workload[],
  summaries: readonly PolicySummary[],
): string {
  const jobs = sum(workloads.map((workload) => workload.jobs.length));
  const rows = summaries.map((row) => [
    row.policy,
    String(row.jobs),
    String(row.unfinished),
    row.meanMinutes.toFixed(1),
    row.p50Minutes.toFixed(1),
    row.p99Minutes.toFixed(0),
    ...urgencies.map((urgency) => (row.meanMinutesByClass[urgency] ?? 0).toFixed(1)),
    row.urgentStartP99Seconds.toFixed(2),
    row.largeWaitMeanMinutes.toFixed(1),
    row.fragmentation.toFixed(3),
    row.largeFragmentation.toFixed(3),
    row.lostAcceleratorHours.toFixed(2),
    String(row.refusedGuarantees),
    row.decisionMs.toFixed(3),
  ]);
  const header = [
    'policy',
    'done',
    'left',
    'mean min',
    'p50',
    'p99',
    'urgent',
    'normal',
    'batch',
    'urgent start p99 s',
    'large wait min',
    'frag',
    'frag large',
    'lost acc h',
    'refused',
    'ms/decision',
  ];
  const ratios = formatRatios(summaries);
  const loadText = `offered load ${meanOfferedLoad(workloads).toFixed(2)}`;
  return `\n## ${name}: ${jobs} jobs, ${loadText}\n\n${formatTable(header, rows)}\n\n${ratios}`;
}

// Accelerator time of all jobs relative to what the data centres in use provide until the last job is
// submitted, as the mean over the workloads.
function meanOfferedLoad(workloads: readonly Workload[]): number {
  const loads = workloads.map((workload) => {
    const used = new Set(workload.jobs.map((job) => job.dataCentre));
    const accelerators = [...workload.workers]
      .filter(([dataCentre]) => used.has(dataCentre))
      .flatMap(([, workers]) => workers.map((worker) => worker.accelerators));
    const work = workload.jobs.map((job) => acceleratorsOf(job.shape) * job.runMs);
    const lastSubmitAt = Math.max(...workload.jobs.map((job) => job.submitAt));
    return sum(work) / (sum(accelerators) * lastSubmitAt);
  });
  return mean(loads);
}

function formatRatios(summaries: readonly PolicySummary[]): string {
  const production = summaries.find((row) => row.policy === 'apricothoist');
  const baselines = summaries.filter((row) => row !== production);
  const ratio = (pick: (row: PolicySummary) => number): string => {
    const best = Math.min(...baselines.map(pick));
    return best === 0
      ? 'n/a (baseline 0)'
      : ((production ? pick(production) : 0) / best).toFixed(2);
  };
  return [
    `against the better baseline: mean completion x${ratio((row) => row.meanMinutes)}`,
    `fragmentation x${ratio((row) => row.fragmentation)}`,
    `large-shape fragmentation x${ratio((row) => row.largeFragmentation)}`,
    `large gangs' wait x${ratio((row) => row.largeWaitMeanMinutes)}`,
  ].join(', ');
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length;
}
