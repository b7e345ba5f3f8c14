import { windowMs } from './CreditLedger.js';
import type { CreditSummary, ExperimentSummary } from './summarize.js';
import { arrangeCharts, drawBarChart, drawLineChart } from './SvgChart.js';

/** Results of the policies on one load, beside the upper bound. */
export interface LoadComparison {
  readonly policies: readonly ExperimentSummary[];
  readonly bound: CreditSummary;
}

const msPerSecond = 1_000;

function drawCharts({ policies, bound }: LoadComparison): string[] {
  const windows = bound.earnedByWindow.length;
  const seconds = policies[0]?.occupiedBySecond.length ?? 0;
  return [
    drawBarChart(
      'credit owed',
      policies.map(({ policy, earned, lost }) => ({ name: policy, parts: { earned, ...lost } })),
    ),
    drawLineChart(
      'earned, by window of arrival',
      (windows * windowMs) / msPerSecond,
      [...policies, bound].map(({ policy, earnedByWindow }) => ({
        name: policy,
        values: earnedByWindow,
      })),
    ),
    drawLineChart(
      'occupied accelerators',
      seconds,
      policies.map(({ policy, occupiedBySecond }) => ({ name: policy, values: occupiedBySecond })),
    ),
  ];
}

/** Draws the charts of all loads as an SVG document. */
export function plotComparisons(comparisons: readonly LoadComparison[]): string {
  return arrangeCharts(
    comparisons.map((comparison) => ({
      heading: `${comparison.bound.load}, factor ${comparison.bound.factor}`,
      charts: drawCharts(comparison),
    })),
  );
}
