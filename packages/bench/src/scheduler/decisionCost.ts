import { Adjacency, ConfigurationBuilder, parseConfiguration } from '@apricothoist/config';
import type { Plan, WorkerView } from '@apricothoist/scheduler';
import {
  applyChanges,
  createJob,
  createPlan,
  PlanChangeKind,
  Scheduler,
} from '@apricothoist/scheduler';

import type { Line } from '../fitLine.js';
import { fitExponent, fitLine } from '../fitLine.js';
import { formatTable } from '../formatTable.js';

const workerCounts = [100, 200, 400, 800, 1_600, 3_200, 6_400];
const workersPerRack = 8;
const acceleratorsPerWorker = 8;
const repetitions = 15;
const limits = { now: 0, staleBefore: -Infinity, fencedRevision: -1, releasedBefore: -Infinity };

/** Median time of a scheduling decision for a given number of workers. */
export interface DecisionCost {
  readonly workers: number;
  readonly milliseconds: number;
}

/** Measures how the time of a decision on one submitted job depends on the number of workers. */
export function measureDecisionCost(): {
  readonly rows: DecisionCost[];
  readonly line: Line;
  readonly text: string;
} {
  const rows = workerCounts.map((workers) => ({ workers, milliseconds: measureMedianMs(workers) }));
  const points = rows.map((row) => ({ x: row.workers, y: row.milliseconds }));
  const line = fitLine(points);
  const table = formatTable(
    ['workers', 'ms/decision', 'us/worker'],
    rows.map(({ workers, milliseconds }) => [
      String(workers),
      milliseconds.toFixed(3),
      ((milliseconds * 1_000) / workers).toFixed(2),
    ]),
  );
  const slope = `${(line.slope * 1_000).toFixed(3)} us per worker`;
  const fit = `slope ${slope}, R2 ${line.determination.toFixed(3)}, exponent ${fitExponent(points).toFixed(2)}`;
  return { rows, line, text: `\n## Cost of a decision\n\n${table}\n\n${fit}` };
}

function measureMedianMs(workerCount: number): number {
  const workers = createWorkers(workerCount);
  const configuration = createConfiguration(workerCount);
  const scheduler = new Scheduler(createIdGenerator());
  const step = (plan: Plan): Plan =>
    scheduler.step({ plan, configuration, workers, observations: new Map(), limits }).plan ?? plan;
  // Small jobs borrow half of the accelerators; jobs with a guarantee use an eighth.
  const plan = step(createLoadedPlan(workerCount));
  const changedPlan =
    applyChanges(plan, [createSubmission(`late`, 'guaranteed', 4, true)], 0) ?? plan;
  step(changedPlan);
  const durations = Array.from({ length: repetitions }, () => {
    const startedAt = performance.now();
    step(changedPlan);
    return performance.now() - startedAt;
  });
  durations.sort((left, right) => left - right);
  return durations[Math.floor(repetitions / 2)] ?? 0;
}

function createLoadedPlan(workerCount: number): Plan {
  const borrowers = Array.from({ length: workerCount / 4 }, (_, index) =>
    createSubmission(`borrower-${index}`, 'borrowing', 2, false),
  );
  const guaranteed = Array.from({ length: workerCount / 32 }, (_, index) =>
    createSubmission(`guaranteed-${index}`, 'guaranteed', 4, true),
  );
  return applyChanges(createPlan('a'), [...borrowers, ...guaranteed], 0) ?? createPlan('a');
}

function createSubmission(id: string, account: string, workers: number, isAdjacent: boolean) {
  const adjacency = isAdjacent ? Adjacency.rack : Adjacency.any;
  const job = createJob(
    {
      id,
      name: account,
      account,
      shape: { workers, acceleratorsPerWorker, adjacency },
      urgency: 'normal',
      declaredMs: 3_600_000,
    },
    0,
  );
  return { kind: PlanChangeKind.submit, job };
}

function createWorkers(count: number): WorkerView[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `worker-${index}`,
    rack: `rack-${Math.floor(index / workersPerRack)}`,
    accelerators: acceleratorsPerWorker,
    isUsable: true,
  }));
}

function createConfiguration(workerCount: number) {
  const account = { weight: 1, requestLimit: 10, acceleratorLimit: 1_000_000 };
  const text = new ConfigurationBuilder({
    name: 'cost',
    region: 'north',
    dataCentres: ['a'],
    completionWeight: 1,
  })
    .account('borrowing', account)
    .account('guaranteed', account)
    .workers('a', {
      count: workerCount,
      workersPerRack,
      cores: 8,
      memoryGb: 8,
      accelerators: acceleratorsPerWorker,
      guards: true,
    })
    .guarantee('shape', {
      account: 'guaranteed',
      dataCentre: 'a',
      shape: { workers: 4, acceleratorsPerWorker, adjacency: Adjacency.rack },
      count: Math.floor(workerCount / 16),
    })
    .print();
  return parseConfiguration(text, 'cost')._unsafeUnwrap();
}

function createIdGenerator(): () => string {
  let count = 0;
  return () => {
    count += 1;
    return `attempt-${count}`;
  };
}
