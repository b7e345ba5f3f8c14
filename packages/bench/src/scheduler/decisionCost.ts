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

/** Median time of one decision at one number of workers. */
export interface CostRow {
  readonly workers: number;
  readonly milliseconds: number;
}

/** Measures one decision with a fixed change, against the number of workers. */
export function measureDecisionCost(): {
  readonly rows: CostRow[];
  readonly line: Line;
  readonly text: string;
} {
  const rows = workerCounts.map((workers) => ({ workers, milliseconds: measure(workers) }));
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

function measure(workerCount: number): number {
  const workers = createWorkers(workerCount);
  const configuration = createConfiguration(workerCount);
  const scheduler = new Scheduler(createCounter());
  const step = (plan: Plan): Plan =>
    scheduler.step({ plan, configuration, workers, observations: new Map(), limits }).plan ?? plan;
  // Half of the accelerators are borrowed by small jobs, an eighth is used under guarantees.
  const plan = step(fill(workerCount));
  const next = applyChanges(plan, [submission(`late`, 'guaranteed', 4, true)], 0) ?? plan;
  step(next);
  const times = Array.from({ length: repetitions }, () => {
    const startedAt = performance.now();
    step(next);
    return performance.now() - startedAt;
  });
  times.sort((left, right) => left - right);
  return times[Math.floor(repetitions / 2)] ?? 0;
}

function fill(workerCount: number): Plan {
  const borrowers = Array.from({ length: workerCount / 4 }, (_, index) =>
    submission(`borrower-${index}`, 'borrowing', 2, false),
  );
  const guaranteed = Array.from({ length: workerCount / 32 }, (_, index) =>
    submission(`guaranteed-${index}`, 'guaranteed', 4, true),
  );
  return applyChanges(createPlan('a'), [...borrowers, ...guaranteed], 0) ?? createPlan('a');
}

function submission(id: string, account: string, workers: number, isAdjacent: boolean) {
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

function createCounter(): () => string {
  let count = 0;
  return () => {
    count += 1;
    return `attempt-${count}`;
  };
}
