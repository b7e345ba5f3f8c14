import { Random } from '@apricothoist/common';
import type { Configuration } from '@apricothoist/config';
import { Adjacency, ConfigurationBuilder, parseConfiguration, Urgency } from '@apricothoist/config';
import { canPlaceTogether } from '@apricothoist/testing';
import test from 'ava';

import { isRenewable } from './assignments.js';
import type { WorkerView } from './Capacity.js';
import { Capacity } from './Capacity.js';
import { attemptChart, AttemptState, jobChart, JobState } from './charts.js';
import { expectedMs, kindOf, learn } from './Estimator.js';
import { GuaranteeLedger, guaranteesOf } from './GuaranteeLedger.js';
import type { GuaranteeUnit } from './GuaranteeWitness.js';
import { GuaranteeWitness } from './GuaranteeWitness.js';
import type { ObservedState, WorkerObservation } from './observe.js';
import type { Attempt, Job, Plan, Shape } from './Plan.js';
import { createJob, createPlan, fitsInside } from './Plan.js';
import { applyChanges, findImpossibility, PlanChangeKind } from './PlanChange.js';
import { lostWorkOf } from './ReclaimSearch.js';
import { Scheduler } from './Scheduler.js';

const hourMs = 3_600_000;
const racks = 2;
const workersPerRack = 3;
const accelerators = 8;

const shape = (workers: number, perWorker: number, isAdjacent = false): Shape => ({
  workers,
  acceleratorsPerWorker: perWorker,
  adjacency: isAdjacent ? Adjacency.rack : Adjacency.any,
});

const workers: WorkerView[] = Array.from({ length: racks * workersPerRack }, (_, index) => ({
  id: `w${index}`,
  rack: `rack-${Math.floor(index / workersPerRack)}`,
  accelerators,
  isUsable: true,
}));

function createConfiguration(singles = 2): Configuration {
  const account = { weight: 1, requestLimit: 10, acceleratorLimit: 48 };
  const guarantee = { account: 'holder', dataCentre: 'a' };
  const text = new ConfigurationBuilder({
    name: 'test',
    region: 'north',
    dataCentres: ['a'],
    completionWeight: 0.5,
  })
    .account('holder', account)
    .account('borrower', account)
    .account('small', { ...account, acceleratorLimit: 8 })
    .workers('a', {
      count: workers.length,
      workersPerRack,
      cores: 8,
      memoryGb: 8,
      accelerators,
      guards: true,
    })
    .guarantee('pair', { ...guarantee, shape: shape(2, 8, true), count: 1 })
    .guarantee('single', { ...guarantee, shape: shape(1, 4), count: singles })
    .print();
  return parseConfiguration(text, 'test')._unsafeUnwrap();
}

function submitted(id: string, account: string, wanted: Shape, change: Partial<Job> = {}): Job {
  const request = { id, name: id, account, shape: wanted, urgency: Urgency.normal };
  return { ...createJob({ ...request, declaredMs: hourMs }, 0), ...change };
}

/** A data centre whose workers do at once what the plan says, unless told otherwise. */
class Bench {
  public plan: Plan = createPlan('a');

  public now = 0;

  public readonly usable = new Set(workers.map((worker) => worker.id));

  /** Task states that differ from what the plan asks for, by `attempt/worker`. */
  public readonly states = new Map<string, ObservedState>();

  private identifiers = 0;

  private readonly scheduler = new Scheduler(() => {
    this.identifiers += 1;
    return `attempt-${this.identifiers}`;
  });

  public constructor(private readonly configuration = createConfiguration()) {}

  public submit(...jobs: Job[]): this {
    const changes = jobs.map((job) => ({ kind: PlanChangeKind.submit, job }));
    this.plan = applyChanges(this.plan, changes, this.now) ?? this.plan;
    return this;
  }

  public step(passedMs = 0): this {
    this.now += passedMs;
    const decision = this.scheduler.step({
      plan: this.plan,
      configuration: this.configuration,
      workers: workers.map((worker) => ({ ...worker, isUsable: this.usable.has(worker.id) })),
      observations: new Map(workers.map((worker) => [worker.id, this.observe(worker.id)])),
      limits: {
        now: this.now,
        silentBefore: this.now - 6_000,
        fencedRevision: -1,
        releasedBefore: -Infinity,
      },
    });
    this.plan = decision.plan ?? this.plan;
    return this;
  }

  /** Steps until nothing changes. */
  public settle(): this {
    for (let turn = 0; turn < 20; turn += 1) {
      const before = this.plan.revision;
      this.step(10);
      if (this.plan.revision === before) {
        return this;
      }
    }
    return this;
  }

  public finish(jobId: string): this {
    this.tasksOf(jobId).forEach((key) => this.states.set(key, 'finished'));
    return this.settle();
  }

  public fail(jobId: string): this {
    this.tasksOf(jobId).forEach((key) => this.states.set(key, 'failed'));
    return this.settle();
  }

  public job(id: string): Job {
    return this.plan.jobs.find((job) => job.id === id) as Job;
  }

  public attempt(jobId: string): Attempt | undefined {
    return this.plan.attempts.find((attempt) => attempt.jobId === jobId);
  }

  private tasksOf(jobId: string): string[] {
    const attempt = this.attempt(jobId);
    return attempt?.tasks.map((task) => `${attempt.id}/${task.workerId}`) ?? [];
  }

  private observe(workerId: string): WorkerObservation {
    const followed: Record<AttemptState, ObservedState> = {
      placing: this.isFull(workerId) ? 'waiting' : 'reserved',
      running: 'running',
      checkpointing: 'stopped',
      releasing: 'absent',
      over: 'absent',
    };
    const tasks = this.plan.attempts
      .filter((attempt) => attempt.tasks.some((task) => task.workerId === workerId))
      .map((attempt) => {
        const state = this.states.get(`${attempt.id}/${workerId}`) ?? followed[attempt.state];
        const progressMs = this.now - (attempt.startedAt ?? this.now);
        return [attempt.id, { state, progressMs, checkpointMs: 0 }] as const;
      });
    const isUsable = this.usable.has(workerId);
    return {
      workerId,
      planRevision: isUsable ? this.plan.revision : 0,
      reportedAt: isUsable ? this.now : -Infinity,
      isGone: false,
      tasks: new Map(tasks),
    };
  }

  private isFull(workerId: string): boolean {
    const held = this.plan.attempts
      .filter((attempt) => attempt.state !== AttemptState.over)
      .flatMap((attempt) => attempt.tasks)
      .filter((task) => task.workerId === workerId && !task.isStopped)
      .reduce((sum, task) => sum + task.accelerators, 0);
    return held > accelerators;
  }
}

test('a positive witness is always right and a negative one nearly always, by the oracle', (t) => {
  const random = new Random(8);
  let allowed = 0;
  let refused = 0;
  for (let state = 0; state < 3_000; state += 1) {
    const free = Capacity.of(workers);
    workers.forEach((_, index) => free.adjust(index, -random.below(accelerators + 1)));
    const units = Array.from({ length: 1 + random.below(4) }, (_, index): GuaranteeUnit => {
      const wanted = shape(
        1 + random.below(3),
        random.pick([1, 2, 3, 4, 8]),
        random.below(2) === 0,
      );
      return { id: `g${index}#0`, guarantee: `g${index}`, account: 'a', shape: wanted };
    });
    const witness = new GuaranteeWitness().solve(free, units);
    const isPossible = canPlaceTogether(
      free.racks.map((rack) => rack.map((worker) => free.freeOf(worker))),
      units.map((unit) => ({
        tasks: unit.shape.workers,
        acceleratorsPerTask: unit.shape.acceleratorsPerWorker,
        isAdjacent: unit.shape.adjacency === Adjacency.rack,
      })),
    );
    if (witness.unplaced.length === 0) {
      t.true(isPossible);
    }
    allowed += isPossible ? 1 : 0;
    refused += isPossible && witness.unplaced.length > 0 ? 1 : 0;
  }
  t.true(refused <= allowed * 0.02, `${refused} of ${allowed} refused needlessly`);
});

test('after every decision all unused guarantees can be met together, by the oracle', (t) => {
  const random = new Random(9);
  const configuration = createConfiguration();
  const guarantees = guaranteesOf(configuration, 'a');
  for (let run = 0; run < 40; run += 1) {
    const bench = new Bench(configuration);
    for (let turn = 0; turn < 25; turn += 1) {
      const running = bench.plan.attempts.filter((item) => item.state === AttemptState.running);
      if (random.below(3) === 0 && running.length > 0) {
        bench.finish(random.pick(running).jobId);
      } else {
        const account = random.pick(['holder', 'borrower']);
        const wanted = random.pick([shape(1, 4), shape(2, 8, true), shape(1, 3), shape(3, 8)]);
        bench.submit(submitted(`job-${run}-${turn}`, account, wanted)).settle();
      }
      const held = new Map<string, number>();
      bench.plan.attempts
        .filter((attempt) => attempt.guarantee !== undefined)
        .flatMap((attempt) => attempt.tasks)
        .forEach((task) => {
          held.set(task.workerId, (held.get(task.workerId) ?? 0) + task.accelerators);
        });
      const free = workers.map((worker) => accelerators - (held.get(worker.id) ?? 0));
      const gangs = new GuaranteeLedger(guarantees, bench.plan.attempts)
        .unusedUnits()
        .map((unit) => ({
          tasks: unit.shape.workers,
          acceleratorsPerTask: unit.shape.acceleratorsPerWorker,
          isAdjacent: unit.shape.adjacency === Adjacency.rack,
        }));
      t.true(canPlaceTogether([free.slice(0, 3), free.slice(3)], gangs));
    }
  }
});

test('a guaranteed gang starts within 3.1 s although everything is borrowed', (t) => {
  const bench = new Bench();
  bench.submit(submitted('wide', 'borrower', shape(6, 8))).settle();
  t.is(bench.attempt('wide')?.state, AttemptState.running);
  const askedAt = bench.now;
  bench.submit(submitted('pair', 'holder', shape(2, 8, true))).settle();
  t.is(bench.attempt('pair')?.state, AttemptState.running);
  t.is(bench.attempt('pair')?.guarantee, 'pair');
  t.true(bench.now - askedAt < 3_100);
  t.is(bench.job('wide').state, JobState.queued);
});

test('a borrower that does not answer is stopped at its deadline', (t) => {
  const bench = new Bench();
  bench.submit(submitted('wide', 'borrower', shape(6, 8))).settle();
  const wide = bench.attempt('wide');
  wide?.tasks.forEach((task) => bench.states.set(`${wide.id}/${task.workerId}`, 'running'));
  bench.submit(submitted('pair', 'holder', shape(2, 8, true)));
  const askedAt = bench.now;
  while (bench.attempt('pair')?.state !== AttemptState.running && bench.now < askedAt + 10_000) {
    bench.step(100);
  }
  t.true(bench.now - askedAt <= 3_100, `took ${bench.now - askedAt} ms`);
});

test('reclaim stops the borrowers with the least to lose, and no one else', (t) => {
  const bench = new Bench();
  bench.submit(submitted('old', 'borrower', shape(3, 8, true))).settle();
  bench.step(hourMs);
  bench.submit(submitted('new', 'borrower', shape(3, 8, true))).settle();
  bench.submit(submitted('pair', 'holder', shape(2, 8, true))).settle();
  t.is(bench.attempt('old')?.state, AttemptState.running);
  t.is(bench.job('new').state, JobState.queued);
  t.is(bench.attempt('pair')?.state, AttemptState.running);
});

test('attempts under a guarantee are never victims', (t) => {
  const bench = new Bench();
  bench.submit(submitted('pair', 'holder', shape(2, 8, true))).settle();
  bench.submit(submitted('urgent', 'borrower', shape(6, 8), { urgency: Urgency.urgent })).settle();
  t.is(bench.attempt('pair')?.state, AttemptState.running);
  t.is(bench.job('urgent').state, JobState.queued);
});

test('an urgent job takes over the unit of a less urgent one of its account', (t) => {
  const bench = new Bench(createConfiguration(1));
  bench.submit(submitted('calm', 'holder', shape(1, 4))).settle();
  bench.submit(submitted('pair', 'holder', shape(2, 8, true))).settle();
  const urgent = submitted('urgent', 'holder', shape(1, 4), { urgency: Urgency.urgent });
  bench.submit(urgent).settle();
  t.is(bench.attempt('urgent')?.guarantee, 'single');
  t.is(bench.attempt('calm')?.guarantee, undefined);
});

test('a borrower is covered once its account has a unit to spare', (t) => {
  const bench = new Bench(createConfiguration(1));
  bench.submit(submitted('first', 'holder', shape(1, 4))).settle();
  bench.submit(submitted('pair', 'holder', shape(2, 8, true))).settle();
  bench.submit(submitted('second', 'holder', shape(1, 4))).settle();
  t.is(bench.attempt('second')?.guarantee, undefined);
  bench.finish('first');
  t.is(bench.attempt('second')?.guarantee, 'single');
});

test('lost workers shrink what can be promised, and that is reported', (t) => {
  const scheduler = new Scheduler(() => 'id');
  const decide = (usable: number) =>
    scheduler.step({
      plan: createPlan('a'),
      configuration: createConfiguration(),
      workers: workers.map((worker, index) => ({ ...worker, isUsable: index < usable })),
      observations: new Map(),
      limits: { now: 0, silentBefore: 0, fencedRevision: -1, releasedBefore: 0 },
    }).shortfall;
  t.deepEqual(decide(6), []);
  t.deepEqual(
    decide(2).map((unit) => unit.guarantee),
    ['single', 'single'],
  );
});

test('a lost part stops the rest, and the job waits until the lost part must have ended', (t) => {
  const bench = new Bench();
  bench.submit(submitted('gang', 'borrower', shape(3, 8, true))).settle();
  const first = bench.attempt('gang');
  const lost = first?.tasks[0]?.workerId ?? '';
  bench.usable.delete(lost);
  bench.step(6_500);
  t.is(bench.attempt('gang')?.state, AttemptState.releasing);
  bench.settle();
  t.is(bench.job('gang').state, JobState.active, 'the lost part may still run');
  bench.usable.add(lost);
  bench.settle();
  t.is(bench.attempt('gang')?.number, 2);
  t.is(bench.attempt('gang')?.state, AttemptState.running);
});

test('a gang that does not reserve in time is released and tried again', (t) => {
  const bench = new Bench();
  bench.submit(submitted('gang', 'borrower', shape(2, 8, true))).step();
  const first = bench.attempt('gang');
  bench.states.set(`${first?.id}/${first?.tasks[0]?.workerId}`, 'waiting');
  bench.step(4_100).settle();
  t.is(bench.attempt('gang')?.number, 2);
  t.is(bench.attempt('gang')?.state, AttemptState.running);
});

test('a worker that fails the tasks of three jobs is quarantined', (t) => {
  const bench = new Bench();
  ['one', 'two', 'three'].forEach((id) => {
    const only = new Set(['w0']);
    workers.forEach((worker) => !only.has(worker.id) && bench.usable.delete(worker.id));
    bench.submit(submitted(id, 'borrower', shape(1, 2))).settle();
    bench.fail(id);
    workers.forEach((worker) => bench.usable.add(worker.id));
    bench.settle();
  });
  const record = bench.plan.workers.find((worker) => worker.workerId === 'w0');
  t.true((record?.quarantinedUntil ?? 0) > bench.now);
  bench.submit(submitted('later', 'borrower', shape(1, 2))).settle();
  t.not(bench.attempt('later')?.tasks[0]?.workerId, 'w0');
});

test('a job that fails on three workers is not tried again', (t) => {
  const bench = new Bench();
  bench.submit(submitted('broken', 'borrower', shape(1, 8))).settle();
  for (let turn = 0; turn < 3; turn += 1) {
    bench.fail('broken');
  }
  t.is(bench.job('broken').state, JobState.failed);
  t.regex(bench.job('broken').reason, /failed on 3 workers/);
});

test('a job that can never run is told why', (t) => {
  const configuration = createConfiguration();
  const why = (account: string, wanted: Shape): string | undefined =>
    findImpossibility(submitted('x', account, wanted), configuration, 'a');
  t.regex(why('borrower', shape(1, 9)) ?? '', /a task wants 9 accelerators, a worker has 8/);
  t.regex(why('borrower', shape(4, 8, true)) ?? '', /at most 3 can stand together/);
  t.regex(why('small', shape(2, 8)) ?? '', /the account may hold 8/);
  t.regex(why('nobody', shape(1, 1)) ?? '', /not configured/);
  t.is(why('borrower', shape(6, 8)), undefined);
});

test('a large job does not starve under an endless flow of small ones', (t) => {
  const bench = new Bench();
  bench.submit(submitted('large', 'borrower', shape(6, 8), { declaredMs: 10 * hourMs }));
  let count = 0;
  const fill = (): void => {
    const small = Array.from({ length: 6 }, () => {
      count += 1;
      return submitted(`small-${count}`, 'borrower', shape(1, 8), {
        declaredMs: 60_000,
        queuedAt: bench.now,
        submittedAt: bench.now,
      });
    });
    bench.submit(...small).settle();
  };
  fill();
  const startedAt = bench.now;
  while (bench.job('large').state === JobState.queued && bench.now < startedAt + 3 * hourMs) {
    const running = bench.plan.attempts.filter((item) => item.state === AttemptState.running);
    running.slice(0, 2).forEach((attempt) => bench.finish(attempt.jobId));
    fill();
    bench.now += 5 * 60_000;
  }
  t.is(bench.job('large').state, JobState.active);
  t.true(bench.now - startedAt < hourMs, `waited ${(bench.now - startedAt) / 60_000} min`);
});

test('an urgent job does not wait for large ones', (t) => {
  const bench = new Bench();
  bench.submit(submitted('large', 'borrower', shape(6, 8))).settle();
  const askedAt = bench.now;
  bench.submit(submitted('quick', 'small', shape(1, 1), { urgency: Urgency.urgent })).settle();
  t.is(bench.attempt('quick')?.state, AttemptState.running);
  t.true(bench.now - askedAt < 3_100);
});

test('declared times are corrected by earlier runs of the same kind', (t) => {
  const job = submitted('x', 'borrower', shape(1, 1));
  let record = learn(job, 10 * hourMs, undefined);
  t.true(Math.abs(expectedMs(job, new Map([[kindOf(job), record]])) - 10 * hourMs) < 1);
  for (let run = 0; run < 30; run += 1) {
    record = learn(job, hourMs / 10, record);
  }
  t.true(expectedMs(job, new Map([[kindOf(job), record]])) < hourMs / 5);
});

test('a cancellation wave is one change of the plan', (t) => {
  const bench = new Bench();
  const jobs = Array.from({ length: 200 }, (_, index) =>
    submitted(`job-${index}`, 'borrower', shape(1, 1)),
  );
  bench.submit(...jobs).settle();
  const before = bench.plan.revision;
  const changes = jobs.map((job) => ({ kind: PlanChangeKind.cancel, jobId: job.id }));
  bench.plan = applyChanges(bench.plan, changes, bench.now) ?? bench.plan;
  t.is(bench.plan.revision, before + 1);
  bench.settle();
  t.true(bench.plan.jobs.every((job) => job.state === JobState.cancelled));
  t.is(bench.plan.attempts.length, 0);
  t.true(bench.plan.revision - before <= 3);
});

test('submitting or cancelling twice has the effect of once', (t) => {
  const job = submitted('x', 'borrower', shape(1, 1));
  const submit = { kind: PlanChangeKind.submit, job };
  const cancel = { kind: PlanChangeKind.cancel, jobId: 'x' };
  const once = applyChanges(createPlan('a'), [submit, submit], 0) as Plan;
  t.is(once.jobs.length, 1);
  t.is(applyChanges(once, [submit], 0), undefined);
  const cancelled = applyChanges(once, [cancel], 0) as Plan;
  t.is(applyChanges(cancelled, [cancel], 0), undefined);
});

test('leases of a gang are renewed only while every part reports', (t) => {
  const bench = new Bench();
  bench.submit(submitted('gang', 'borrower', shape(2, 8, true))).settle();
  const attempt = bench.attempt('gang') as Attempt;
  const report = (workerId: string, change: Partial<WorkerObservation>): WorkerObservation => ({
    workerId,
    planRevision: bench.plan.revision,
    reportedAt: 100_000,
    isGone: false,
    tasks: new Map([[attempt.id, { state: 'running', progressMs: 0, checkpointMs: 0 }]]),
    ...change,
  });
  const [first = '', second = ''] = attempt.tasks.map((task) => task.workerId);
  const renewable = (change: Partial<WorkerObservation>): boolean =>
    isRenewable(
      attempt,
      new Map([
        [first, report(first, {})],
        [second, report(second, change)],
      ]),
      94_000,
    );
  t.true(renewable({}));
  t.false(renewable({ reportedAt: 90_000 }));
  t.false(renewable({ tasks: new Map() }));
  t.false(renewable({ planRevision: -1 }));
});

test('every state of jobs and attempts answers every event', (t) => {
  [jobChart, attemptChart].forEach((chart) => {
    chart.states.forEach((state) => {
      chart.events.forEach((event) => {
        const next = chart.next(state as never, event as never);
        t.true((chart.states as readonly string[]).includes(next));
        t.is(chart.accepts(state as never, event as never), next !== state);
      });
    });
  });
  t.is(jobChart.next(JobState.succeeded, 'cancel'), JobState.succeeded);
});

test('a smaller gang fits inside a guarantee, a wider one does not', (t) => {
  t.true(fitsInside(shape(2, 4), shape(1, 8)));
  t.true(fitsInside(shape(2, 8, true), shape(2, 8, true)));
  t.false(fitsInside(shape(2, 8, true), shape(2, 8)));
  t.false(fitsInside(shape(3, 8), shape(2, 8)));
});

test('work since the last checkpoint is what stopping costs', (t) => {
  const bench = new Bench();
  bench.submit(submitted('gang', 'borrower', shape(2, 8, true))).settle();
  const attempt = bench.attempt('gang') as Attempt;
  const cost = (progressMs: number, checkpointMs: number): number =>
    lostWorkOf({ ...attempt, progressMs, checkpointMs });
  t.true(cost(hourMs, 0) > cost(hourMs, hourMs / 2));
});
