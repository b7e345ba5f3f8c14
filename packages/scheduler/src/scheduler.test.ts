import { Random } from '@apricothoist/common';
import type { Configuration } from '@apricothoist/config';
import { Adjacency, ConfigurationBuilder, parseConfiguration, Urgency } from '@apricothoist/config';
import { canPlaceTogether } from '@apricothoist/testing';
import test from 'ava';

import { isRenewable } from './assignments.js';
import type { WorkerView } from './Capacity.js';
import { Capacity } from './Capacity.js';
import { attemptChart, AttemptState, jobChart, JobState } from './charts.js';
import { expectedMs, kindOf, updateEstimate } from './Estimator.js';
import { GuaranteeLedger, guaranteesOf } from './GuaranteeLedger.js';
import type { GuaranteeUnit } from './GuaranteeFeasibility.js';
import { GuaranteeFeasibility } from './GuaranteeFeasibility.js';
import type { ObservedState, WorkerObservation } from './observe.js';
import type { Attempt, Job, Plan, Shape } from './Plan.js';
import { createJob, createPlan, fitsInside } from './Plan.js';
import { applyChanges, findInfeasibilityReason, PlanChangeKind } from './PlanChange.js';
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

function createTestJob(id: string, account: string, wanted: Shape, change: Partial<Job> = {}): Job {
  const request = { id, name: id, account, shape: wanted, urgency: Urgency.normal };
  return { ...createJob({ ...request, declaredMs: hourMs }, 0), ...change };
}

/** A simulated data centre whose workers follow the plan immediately unless `states` overrides it. */
class SchedulerFixture {
  public plan: Plan = createPlan('a');

  public now = 0;

  public readonly usable = new Set(workers.map((worker) => worker.id));

  /** Workers that the lists have lacked for long. */
  public readonly gone = new Set<string>();

  /** Task states that override those the plan implies, by `attempt/worker`. */
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

  public step(elapsedMs = 0): this {
    this.now += elapsedMs;
    const decision = this.scheduler.step({
      plan: this.plan,
      configuration: this.configuration,
      workers: workers.map((worker) => ({ ...worker, isUsable: this.usable.has(worker.id) })),
      observations: new Map(workers.map((worker) => [worker.id, this.observe(worker.id)])),
      limits: {
        now: this.now,
        staleBefore: this.now - 6_000,
        fencedRevision: -1,
        releasedBefore: -Infinity,
      },
    });
    this.plan = decision.plan ?? this.plan;
    return this;
  }

  /** Runs steps until the plan no longer changes, at most 20. */
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
    const planned: Record<AttemptState, ObservedState> = {
      placing: this.isFull(workerId) ? 'waiting' : 'reserved',
      running: 'running',
      checkpointing: 'stopped',
      releasing: 'absent',
      over: 'absent',
    };
    const tasks = this.plan.attempts
      .filter((attempt) => attempt.tasks.some((task) => task.workerId === workerId))
      .map((attempt) => {
        const state = this.states.get(`${attempt.id}/${workerId}`) ?? planned[attempt.state];
        const progressMs = this.now - (attempt.startedAt ?? this.now);
        return [attempt.id, { state, progressMs, checkpointMs: 0 }] as const;
      });
    const isUsable = this.usable.has(workerId);
    return {
      workerId,
      planRevision: isUsable ? this.plan.revision : 0,
      reportedAt: isUsable ? this.now : -Infinity,
      isGone: this.gone.has(workerId),
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

test('a positive feasibility check is always correct and a negative one nearly always, compared with the oracle', (t) => {
  const random = new Random(8);
  let feasible = 0;
  let rejected = 0;
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
    const assignment = new GuaranteeFeasibility().solve(free, units);
    const isFeasible = canPlaceTogether(
      free.racks.map((rack) => rack.map((worker) => free.freeOf(worker))),
      units.map((unit) => ({
        tasks: unit.shape.workers,
        acceleratorsPerTask: unit.shape.acceleratorsPerWorker,
        isAdjacent: unit.shape.adjacency === Adjacency.rack,
      })),
    );
    if (assignment.unplaced.length === 0) {
      t.true(isFeasible);
    }
    feasible += isFeasible ? 1 : 0;
    rejected += isFeasible && assignment.unplaced.length > 0 ? 1 : 0;
  }
  t.true(rejected <= feasible * 0.02, `${rejected} of ${feasible} feasible states rejected`);
});

test('all unused guarantees can be met simultaneously after every decision, compared with the oracle', (t) => {
  const random = new Random(9);
  const configuration = createConfiguration();
  const guarantees = guaranteesOf(configuration, 'a');
  for (let run = 0; run < 40; run += 1) {
    const fixture = new SchedulerFixture(configuration);
    for (let turn = 0; turn < 25; turn += 1) {
      const running = fixture.plan.attempts.filter((item) => item.state === AttemptState.running);
      if (random.below(3) === 0 && running.length > 0) {
        fixture.finish(random.pick(running).jobId);
      } else {
        const account = random.pick(['holder', 'borrower']);
        const wanted = random.pick([shape(1, 4), shape(2, 8, true), shape(1, 3), shape(3, 8)]);
        fixture.submit(createTestJob(`job-${run}-${turn}`, account, wanted)).settle();
      }
      const held = new Map<string, number>();
      fixture.plan.attempts
        .filter((attempt) => attempt.guarantee !== undefined)
        .flatMap((attempt) => attempt.tasks)
        .forEach((task) => {
          held.set(task.workerId, (held.get(task.workerId) ?? 0) + task.accelerators);
        });
      const free = workers.map((worker) => accelerators - (held.get(worker.id) ?? 0));
      const gangs = new GuaranteeLedger(guarantees, fixture.plan.attempts)
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

test('a guaranteed gang starts within 3.1 s when borrowers hold all accelerators', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('wide', 'borrower', shape(6, 8))).settle();
  t.is(fixture.attempt('wide')?.state, AttemptState.running);
  const requestedAt = fixture.now;
  fixture.submit(createTestJob('pair', 'holder', shape(2, 8, true))).settle();
  t.is(fixture.attempt('pair')?.state, AttemptState.running);
  t.is(fixture.attempt('pair')?.guarantee, 'pair');
  t.true(fixture.now - requestedAt < 3_100);
  t.is(fixture.job('wide').state, JobState.queued);
});

test('a borrower that does not checkpoint is stopped at its deadline', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('wide', 'borrower', shape(6, 8))).settle();
  const wide = fixture.attempt('wide');
  wide?.tasks.forEach((task) => fixture.states.set(`${wide.id}/${task.workerId}`, 'running'));
  fixture.submit(createTestJob('pair', 'holder', shape(2, 8, true)));
  const requestedAt = fixture.now;
  while (
    fixture.attempt('pair')?.state !== AttemptState.running &&
    fixture.now < requestedAt + 10_000
  ) {
    fixture.step(100);
  }
  t.true(fixture.now - requestedAt <= 3_100, `took ${fixture.now - requestedAt} ms`);
});

test('reclaim preempts only the borrowers with the least lost work', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('old', 'borrower', shape(3, 8, true))).settle();
  fixture.step(hourMs);
  fixture.submit(createTestJob('new', 'borrower', shape(3, 8, true))).settle();
  fixture.submit(createTestJob('pair', 'holder', shape(2, 8, true))).settle();
  t.is(fixture.attempt('old')?.state, AttemptState.running);
  t.is(fixture.job('new').state, JobState.queued);
  t.is(fixture.attempt('pair')?.state, AttemptState.running);
});

test('attempts under a guarantee are never preempted', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('pair', 'holder', shape(2, 8, true))).settle();
  fixture
    .submit(createTestJob('urgent', 'borrower', shape(6, 8), { urgency: Urgency.urgent }))
    .settle();
  t.is(fixture.attempt('pair')?.state, AttemptState.running);
  t.is(fixture.job('urgent').state, JobState.queued);
});

test('an urgent job takes over the guarantee unit of a less urgent job of its account', (t) => {
  const fixture = new SchedulerFixture(createConfiguration(1));
  fixture.submit(createTestJob('calm', 'holder', shape(1, 4))).settle();
  fixture.submit(createTestJob('pair', 'holder', shape(2, 8, true))).settle();
  const urgent = createTestJob('urgent', 'holder', shape(1, 4), { urgency: Urgency.urgent });
  fixture.submit(urgent).settle();
  t.is(fixture.attempt('urgent')?.guarantee, 'single');
  t.is(fixture.attempt('calm')?.guarantee, undefined);
});

test('a borrower uses a guarantee once its account has an unused unit', (t) => {
  const fixture = new SchedulerFixture(createConfiguration(1));
  fixture.submit(createTestJob('first', 'holder', shape(1, 4))).settle();
  fixture.submit(createTestJob('pair', 'holder', shape(2, 8, true))).settle();
  fixture.submit(createTestJob('second', 'holder', shape(1, 4))).settle();
  t.is(fixture.attempt('second')?.guarantee, undefined);
  fixture.finish('first');
  t.is(fixture.attempt('second')?.guarantee, 'single');
});

test('guarantees that cannot be met after losing workers are reported as shortfall', (t) => {
  const scheduler = new Scheduler(() => 'id');
  const decide = (usable: number) =>
    scheduler.step({
      plan: createPlan('a'),
      configuration: createConfiguration(),
      workers: workers.map((worker, index) => ({ ...worker, isUsable: index < usable })),
      observations: new Map(),
      limits: { now: 0, staleBefore: 0, fencedRevision: -1, releasedBefore: 0 },
    }).shortfall;
  t.deepEqual(decide(6), []);
  t.deepEqual(
    decide(2).map((unit) => unit.guarantee),
    ['single', 'single'],
  );
});

test('losing one task stops the gang, and the job is requeued only once that task must have ended', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('gang', 'borrower', shape(3, 8, true))).settle();
  const first = fixture.attempt('gang');
  const lost = first?.tasks[0]?.workerId ?? '';
  fixture.usable.delete(lost);
  fixture.step(6_500);
  t.is(fixture.attempt('gang')?.state, AttemptState.releasing);
  fixture.settle();
  t.is(fixture.job('gang').state, JobState.active, 'the lost task may still be running');
  fixture.usable.add(lost);
  fixture.settle();
  t.is(fixture.attempt('gang')?.number, 2);
  t.is(fixture.attempt('gang')?.state, AttemptState.running);
});

// Another instance may reach the worker, and renew its leases while it does not reach the store.
test('a task is not started beside one on a worker that the lists lack', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('single', 'borrower', shape(1, 8))).settle();
  const first = fixture.attempt('single');
  const worker = first?.tasks[0]?.workerId ?? '';
  fixture.usable.delete(worker);
  fixture.gone.add(worker);
  fixture.step(15_000).settle();
  t.is(fixture.attempt('single')?.state, AttemptState.releasing);
  t.is(fixture.attempt('single')?.id, first?.id);
});

test('a gang that is not reserved in time is released and retried', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('gang', 'borrower', shape(2, 8, true))).step();
  const first = fixture.attempt('gang');
  fixture.states.set(`${first?.id}/${first?.tasks[0]?.workerId}`, 'waiting');
  fixture.step(4_100).settle();
  t.is(fixture.attempt('gang')?.number, 2);
  t.is(fixture.attempt('gang')?.state, AttemptState.running);
});

test('a worker that fails the tasks of three jobs is quarantined', (t) => {
  const fixture = new SchedulerFixture();
  ['one', 'two', 'three'].forEach((id) => {
    const only = new Set(['w0']);
    workers.forEach((worker) => !only.has(worker.id) && fixture.usable.delete(worker.id));
    fixture.submit(createTestJob(id, 'borrower', shape(1, 2))).settle();
    fixture.fail(id);
    workers.forEach((worker) => fixture.usable.add(worker.id));
    fixture.settle();
  });
  const record = fixture.plan.workers.find((worker) => worker.workerId === 'w0');
  t.true((record?.quarantinedUntil ?? 0) > fixture.now);
  fixture.submit(createTestJob('later', 'borrower', shape(1, 2))).settle();
  t.not(fixture.attempt('later')?.tasks[0]?.workerId, 'w0');
});

test('a job that fails on three workers is not retried', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('broken', 'borrower', shape(1, 8))).settle();
  for (let turn = 0; turn < 3; turn += 1) {
    fixture.fail('broken');
  }
  t.is(fixture.job('broken').state, JobState.failed);
  t.regex(fixture.job('broken').reason, /failed on 3 workers/);
});

test('the reason why a job can never run is reported', (t) => {
  const configuration = createConfiguration();
  const reasonFor = (account: string, wanted: Shape): string | undefined =>
    findInfeasibilityReason(createTestJob('x', account, wanted), configuration, 'a');
  t.regex(reasonFor('borrower', shape(1, 9)) ?? '', /a task wants 9 accelerators, a worker has 8/);
  t.regex(reasonFor('borrower', shape(4, 8, true)) ?? '', /at most 3 can stand together/);
  t.regex(reasonFor('small', shape(2, 8)) ?? '', /the account may hold 8/);
  t.regex(reasonFor('nobody', shape(1, 1)) ?? '', /not configured/);
  t.is(reasonFor('borrower', shape(6, 8)), undefined);
});

test('a large job does not starve under a continuous stream of small jobs', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('large', 'borrower', shape(6, 8), { declaredMs: 10 * hourMs }));
  let count = 0;
  const fill = (): void => {
    const small = Array.from({ length: 6 }, () => {
      count += 1;
      return createTestJob(`small-${count}`, 'borrower', shape(1, 8), {
        declaredMs: 60_000,
        queuedAt: fixture.now,
        submittedAt: fixture.now,
      });
    });
    fixture.submit(...small).settle();
  };
  fill();
  const startedAt = fixture.now;
  while (fixture.job('large').state === JobState.queued && fixture.now < startedAt + 3 * hourMs) {
    const running = fixture.plan.attempts.filter((item) => item.state === AttemptState.running);
    running.slice(0, 2).forEach((attempt) => fixture.finish(attempt.jobId));
    fill();
    fixture.now += 5 * 60_000;
  }
  t.is(fixture.job('large').state, JobState.active);
  t.true(fixture.now - startedAt < hourMs, `waited ${(fixture.now - startedAt) / 60_000} min`);
});

test('an urgent job preempts a large job instead of waiting for it', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('large', 'borrower', shape(6, 8))).settle();
  const requestedAt = fixture.now;
  fixture
    .submit(createTestJob('quick', 'small', shape(1, 1), { urgency: Urgency.urgent }))
    .settle();
  t.is(fixture.attempt('quick')?.state, AttemptState.running);
  t.true(fixture.now - requestedAt < 3_100);
});

test('declared times are corrected by earlier runs of the same kind', (t) => {
  const job = createTestJob('x', 'borrower', shape(1, 1));
  let record = updateEstimate(job, 10 * hourMs, undefined);
  t.true(Math.abs(expectedMs(job, new Map([[kindOf(job), record]])) - 10 * hourMs) < 1);
  for (let run = 0; run < 30; run += 1) {
    record = updateEstimate(job, hourMs / 10, record);
  }
  t.true(expectedMs(job, new Map([[kindOf(job), record]])) < hourMs / 5);
});

test('a batch of cancellations is a single plan change', (t) => {
  const fixture = new SchedulerFixture();
  const jobs = Array.from({ length: 200 }, (_, index) =>
    createTestJob(`job-${index}`, 'borrower', shape(1, 1)),
  );
  fixture.submit(...jobs).settle();
  const before = fixture.plan.revision;
  const changes = jobs.map((job) => ({ kind: PlanChangeKind.cancel, jobId: job.id }));
  fixture.plan = applyChanges(fixture.plan, changes, fixture.now) ?? fixture.plan;
  t.is(fixture.plan.revision, before + 1);
  fixture.settle();
  t.true(fixture.plan.jobs.every((job) => job.state === JobState.cancelled));
  t.is(fixture.plan.attempts.length, 0);
  t.true(fixture.plan.revision - before <= 3);
});

test('submitting and cancelling are idempotent', (t) => {
  const job = createTestJob('x', 'borrower', shape(1, 1));
  const submit = { kind: PlanChangeKind.submit, job };
  const cancel = { kind: PlanChangeKind.cancel, jobId: 'x' };
  const once = applyChanges(createPlan('a'), [submit, submit], 0) as Plan;
  t.is(once.jobs.length, 1);
  t.is(applyChanges(once, [submit], 0), undefined);
  const cancelled = applyChanges(once, [cancel], 0) as Plan;
  t.is(applyChanges(cancelled, [cancel], 0), undefined);
});

test('leases of a gang are renewed only while the worker of every task reports', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('gang', 'borrower', shape(2, 8, true))).settle();
  const attempt = fixture.attempt('gang') as Attempt;
  const report = (workerId: string, change: Partial<WorkerObservation>): WorkerObservation => ({
    workerId,
    planRevision: fixture.plan.revision,
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

test('every job and attempt state handles every event', (t) => {
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

test('a gang fits inside a guarantee of its size or larger, not a smaller one', (t) => {
  t.true(fitsInside(shape(2, 4), shape(1, 8)));
  t.true(fitsInside(shape(2, 8, true), shape(2, 8, true)));
  t.false(fitsInside(shape(2, 8, true), shape(2, 8)));
  t.false(fitsInside(shape(3, 8), shape(2, 8)));
});

test('the cost of preemption grows with the work since the last checkpoint', (t) => {
  const fixture = new SchedulerFixture();
  fixture.submit(createTestJob('gang', 'borrower', shape(2, 8, true))).settle();
  const attempt = fixture.attempt('gang') as Attempt;
  const cost = (progressMs: number, checkpointMs: number): number =>
    lostWorkOf({ ...attempt, progressMs, checkpointMs });
  t.true(cost(hourMs, 0) > cost(hourMs, hourMs / 2));
});
