import { fitLine } from '../fitLine.js';
import type { Line } from '../fitLine.js';
import { formatTable } from '../formatTable.js';
import { measureDecisionCost } from '../scheduler/decisionCost.js';
import { writeResult } from '../writeResult.js';
import type { ControlPlaneCost } from './measureDeployment.js';
import { measureDeployment } from './measureDeployment.js';
import { planBytes } from './planSize.js';

const instanceCounts = [2, 4, 6, 8];
const workerCounts = [22, 44, 66, 88];
const fixedInstances = 2;
const fixedWorkers = 22;
const jobCounts = [10, 20, 40, 80, 160];
const tasksPerJob = 5;

type CostMetric = 'processorShare' | 'memoryMb' | 'meshBytes' | 'storeCalls';

const costMetrics: readonly CostMetric[] = [
  'processorShare',
  'memoryMb',
  'meshBytes',
  'storeCalls',
];

/** Measures the slopes on which the capacity model of docs/CAPACITY.md is based. */
export async function runCapacityBench(print: (text: string) => void): Promise<void> {
  const byInstances: ControlPlaneCost[] = [];
  for (const instances of instanceCounts) {
    byInstances.push(await measureDeployment({ instances, workers: fixedWorkers }));
  }
  print(formatCosts('instances', byInstances, (cost) => cost.size.instances));
  const byWorkers: ControlPlaneCost[] = [];
  for (const workers of workerCounts) {
    byWorkers.push(await measureDeployment({ instances: fixedInstances, workers }));
  }
  print(formatCosts('workers', byWorkers, (cost) => cost.size.workers));
  const plan = jobCounts.map((jobs) => ({ x: jobs, y: planBytes(jobs, tasksPerJob) }));
  const planLine = fitLine(plan);
  const rows = plan.map(({ x, y }) => [String(x), String(y)]);
  print(`\n## Bytes of a plan, jobs of ${tasksPerJob} tasks\n`);
  print(formatTable(['jobs', 'bytes'], rows));
  print(formatLine('bytes', 'job', planLine));
  const decisions = measureDecisionCost();
  print(decisions.text);
  const result = { byInstances, byWorkers, plan, decisions: decisions.rows };
  print(`\nwritten to ${writeResult('capacity', result)}`);
}

function formatCosts(
  name: string,
  costs: readonly ControlPlaneCost[],
  sizeOf: (cost: ControlPlaneCost) => number,
): string {
  const table = formatTable(
    [name, 'core %', 'memory MB', 'mesh B/s', 'store calls/s'],
    costs.map((cost) => [
      String(sizeOf(cost)),
      (cost.processorShare * 100).toFixed(2),
      cost.memoryMb.toFixed(1),
      cost.meshBytes.toFixed(0),
      cost.storeCalls.toFixed(2),
    ]),
  );
  const lines = costMetrics.map((metric) => {
    const points = costs.map((cost) => ({ x: sizeOf(cost), y: cost[metric] }));
    return formatLine(metric, name.slice(0, -1), fitLine(points));
  });
  return `\n## Control-plane cost of the busiest instance, by ${name}\n\n${table}\n${lines.join('\n')}`;
}

function formatLine(metric: string, unit: string, line: Line): string {
  const slope = line.slope.toPrecision(3);
  const intercept = line.intercept.toPrecision(3);
  return `${metric}: ${intercept} + ${slope} per ${unit}, R2 ${line.determination.toFixed(3)}`;
}
