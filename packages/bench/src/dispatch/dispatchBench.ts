import { writeFileSync } from 'node:fs';
import process from 'node:process';

import { loadBeginsAt } from '@apricothoist/testing';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { formatTable } from '../formatTable.js';
import { boundCredit } from './boundCredit.js';
import type { ExperimentLoad } from './experimentLoads.js';
import { experimentLoads } from './experimentLoads.js';
import type { ExperimentPolicy } from './experimentPolicies.js';
import { experimentPolicies } from './experimentPolicies.js';
import type { LoadComparison } from './plotComparisons.js';
import { plotComparisons } from './plotComparisons.js';
import { generateJobs, runExperiment } from './runExperiment.js';
import type { CreditSummary, ExperimentSummary } from './summarize.js';
import { summarize, summarizeBound } from './summarize.js';

const msPerSecond = 1_000;
const queueColumns = ['urgent', 'wide', 'large', 'batch'];
const header = [
  'load',
  'policy',
  'earned',
  '+-',
  ...queueColumns,
  'worst',
  '2nd',
  'lost: waited',
  'preempted',
  'slow',
  'refused',
  'failed',
  'idle',
  'reserved',
  'lost work',
  'gang skew',
  'worthless',
  'preempted runs',
  'young',
  'step ms',
  'p99',
];

function share(value: number | undefined): string {
  return value === undefined ? '' : value.toFixed(3);
}

function createCreditCells(summary: CreditSummary): string[] {
  return [
    `${summary.load} ${summary.factor}x`,
    summary.policy,
    share(summary.earned),
    share(summary.earnedError),
    ...queueColumns.map((queue) => share(summary.earnedByQueue[queue])),
  ];
}

function createRow(summary: ExperimentSummary): string[] {
  const { lost, usageLost } = summary;
  return [
    ...createCreditCells(summary),
    ...summary.worstWindows.map(share),
    ...[lost.waited, lost.preempted, lost.slow, lost.refused, lost.failed].map(share),
    share(summary.idle),
    share(summary.reserved),
    share(usageLost.preempted + usageLost.stopped),
    share(usageLost.slowestMember),
    share(usageLost.worthless),
    summary.preemptedRuns.toFixed(0),
    summary.youngPreemptedRuns.toFixed(0),
    summary.meanStepMs.toFixed(2),
    summary.p99StepMs.toFixed(2),
  ];
}

function withFarSlowdown(
  { load, creditByQueue }: ExperimentLoad,
  farSlowdown: number | undefined,
): ExperimentLoad {
  const deployment = { ...load.deployment, ...(farSlowdown !== undefined && { farSlowdown }) };
  return { load: { ...load, deployment }, creditByQueue };
}

/**
 * Replays the loads of deployments through the decisions and prints the credit that callers would
 * give, the use of the accelerators and the time of the dispatch steps.
 */
export async function runDispatchBench(print: (text: string) => void): Promise<void> {
  const options = await yargs(hideBin(process.argv).slice(1))
    .scriptName('bench dispatch')
    .option('load', {
      choices: Object.keys(experimentLoads),
      default: ['flagyard', 'vault'],
      array: true,
      describe: 'loads to replay',
    })
    .option('factor', {
      type: 'number',
      default: [1],
      array: true,
      describe: 'multiples of the arrival rates',
    })
    .option('seeds', { type: 'number', default: 2, describe: 'number of seeds' })
    .option('first', { type: 'number', default: 1, describe: 'first seed' })
    .option('seconds', { type: 'number', default: 40, describe: 'seconds in which jobs arrive' })
    .option('policy', {
      choices: Object.keys(experimentPolicies),
      default: ['fcfs', 'current'],
      array: true,
      describe: 'policies to compare',
    })
    .option('far-slowdown', {
      type: 'number',
      describe: 'factor by which a gang that prefers one rack slows down on several',
    })
    .option('json', { type: 'string', describe: 'file for the ledgers of all replays' })
    .option('plot', { type: 'string', describe: 'SVG file for charts' })
    .strict()
    .parseAsync();
  const loadMs = options.seconds * msPerSecond;
  const seeds = Array.from({ length: options.seeds }, (_, index) => options.first + index);
  const comparisons = options.load.flatMap((loadName) =>
    options.factor.map((factor): LoadComparison => {
      const load = withFarSlowdown(
        experimentLoads[loadName] as ExperimentLoad,
        options.farSlowdown,
      );
      const jobs = seeds.map((seed) => generateJobs(load, seed, loadMs, factor));
      const bounds = jobs.map((each) => [each, boundCredit(load, each)] as const);
      return {
        policies: options.policy.map((policyName) => {
          const policy = experimentPolicies[policyName] as ExperimentPolicy;
          const results = jobs.map((each) => runExperiment(load, policy, each, loadMs));
          return {
            ...summarize(loadName, policyName, factor, results),
            ledgers: results.map(({ credit, usage }, index) => ({
              seed: seeds[index] as number,
              credit: credit.toRecord(),
              usage,
            })),
          };
        }),
        bound: summarizeBound(loadName, factor, loadBeginsAt(load.load), bounds),
      };
    }),
  );
  const rows = comparisons.flatMap(({ policies, bound }) => [
    ...policies.map(createRow),
    createCreditCells(bound),
  ]);
  print(formatTable(header, rows));
  if (options.json !== undefined) {
    writeFileSync(options.json, `${JSON.stringify(comparisons, undefined, 2)}\n`);
  }
  if (options.plot !== undefined) {
    writeFileSync(options.plot, plotComparisons(comparisons));
  }
}
