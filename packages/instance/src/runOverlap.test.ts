import process from 'node:process';

import type { Clock } from '@apricothoist/common';
import { Random } from '@apricothoist/common';
import type { ListedRunner, Queue, StartCommand, Step } from '@apricothoist/dispatch';
import { JobState, RunCounters, RunEnd, StartOutcome } from '@apricothoist/dispatch';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import type { CallFate, TaskBehaviour, VirtualCall, VirtualRunRecord } from '@apricothoist/testing';
import {
  CallKind,
  createSpecification,
  DispatchFixture,
  listedRunner,
  plainStep,
  replayBounds,
  replayQueues,
  VirtualCoordinationStore,
  VirtualRunner,
  VirtualRunnerClient,
  VirtualRunnerPool,
} from '@apricothoist/testing';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import { ok } from 'neverthrow';

import { StoreKeys } from './keys.js';
import type { OperatorConfiguration } from './OperatorConfiguration.js';
import { RunnerError, RunnerErrorKind } from './RunnerClient.js';
import type { SchedulingServices } from './Scheduling.js';
import { Scheduling } from './Scheduling.js';
import { SuspendAwareClock } from './SuspendAwareClock.js';

const queue = replayQueues.urgent as Queue;
const configuration: OperatorConfiguration = {
  version: 1,
  routes: [{ ...queue, host: 'host', pathPrefix: '/urgent/', isPublic: true }],
  accounts: [{ name: 'anna', guaranteedAccelerators: 0 }],
  accountByKey: new Map(),
  maxBodyBytes: 1_000,
};
/** Milliseconds that a gang waits for its members. */
const gangTimeoutMs = 4_000;
/** Set RUN_LOG=info to trace decisions. */
const logLevel = process.env.RUN_LOG === 'info' ? LogLevel.info : LogLevel.error;
const latencyMs = 2;
const delivered: CallFate = { kind: 'delivered', latencyMs };

interface DeploymentOptions {
  readonly runners: number;
  readonly decideFate?: (call: VirtualCall) => CallFate;
  readonly durationMs?: number;
  readonly behave?: (command: StartCommand) => Partial<TaskBehaviour>;
}

/** The scheduling instance with virtual runners and a store, in virtual time. */
class VirtualDeployment implements Disposable {
  private readonly timers = install({
    now: 1_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });

  public readonly pool = new VirtualRunnerPool(gangTimeoutMs);

  public readonly store = new VirtualCoordinationStore();

  public readonly cutRunners = new Set<string>();

  /** Registry entries of incarnations that have ended, until the next one has registered. */
  private readonly staleEntries = new Map<string, ListedRunner>();

  public readonly drainingRunners = new Set<string>();

  /** Milliseconds by which the wall clock is ahead. */
  public wallOffsetMs = 0;

  private readonly steps = new Map<string, readonly Step[]>();

  private current: Scheduling | undefined;

  public readonly resignations: string[] = [];

  public constructor(private readonly options: DeploymentOptions) {
    for (let number = 1; number <= options.runners; number += 1) {
      this.pool.add(
        new VirtualRunner(
          {
            entry: listedRunner(`r${number}`),
            clockSlowness: 1.02,
            maxLeaseMs: replayBounds.maxLeaseMs,
            guardsCapacity: true,
            behaviourOf: (command) => this.behaviourOf(command),
          },
          this.pool,
          0,
        ),
      );
    }
  }

  public get now(): number {
    return this.timers.now;
  }

  public get scheduling(): Scheduling {
    return this.current as Scheduling;
  }

  public stateOf(jobId: string): JobState | undefined {
    return this.current?.dispatcher.state.jobs.get(jobId)?.state;
  }

  public submit(id: string, steps: readonly Partial<Step>[]): void {
    const whole = steps.map((step): Step => ({ ...plainStep, ...step }));
    this.steps.set(id, whole);
    const specification = { ...createSpecification(id, whole), acceptedAt: this.now };
    this.store.put(StoreKeys.job(id), JSON.stringify({ specification, queue }));
  }

  /** Starts a term with a higher token, and ends the term before it. */
  public takeOver(): void {
    this.current?.[Symbol.dispose]();
    const token = this.store.put(StoreKeys.holder, '{}');
    this.current = new Scheduling(this.createServices(token), token, configuration);
    this.current.start();
  }

  private createServices(token: number): SchedulingServices {
    const steadyClock: Clock = {
      monotonic: () => this.now,
      wall: () => this.now + this.wallOffsetMs,
    };
    const clock = new SuspendAwareClock(steadyClock);
    return {
      store: this.store,
      registry: { list: async () => ok(this.listRunners()) },
      runners: this.createClient(clock),
      clock,
      steadyClock,
      random: new Random(token),
      log: new EventLog('test', logLevel, LogFormat.text, clock),
      bounds: replayBounds,
      counters: new RunCounters(),
      token: () => token,
      resign: (reason) => this.resignations.push(reason),
      publish: () => {},
    };
  }

  /** Advances virtual time. */
  public async run(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    let hasElapsed = false;
    setTimeout(() => {
      hasElapsed = true;
    }, milliseconds);
    while (!hasElapsed) {
      this.timers.next();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    this.pool.advance(end);
  }

  /** Advances virtual time until all jobs have completed; false if they do not within the limit. */
  public async runUntilCompleted(limitMs: number): Promise<boolean> {
    const end = this.now + limitMs;
    while ([...this.steps.keys()].some((id) => this.stateOf(id) !== JobState.completed)) {
      if (this.now >= end) {
        return false;
      }
      await this.run(100);
    }
    return true;
  }

  /** Crashes a runner and starts it again under its id, `downMs` later. */
  public async restart(runnerId: string, downMs: number, registeredAfterMs = 0): Promise<void> {
    const runner = this.pool.get(runnerId);
    const { entry } = runner;
    runner.crash(this.now);
    this.staleEntries.set(runnerId, entry);
    await this.run(downMs);
    runner.restart(this.now, this.now);
    setTimeout(() => this.staleEntries.delete(runnerId), registeredAfterMs);
  }

  private listRunners(): ListedRunner[] {
    return this.pool.all
      .map(({ id, entry }) => this.staleEntries.get(id) ?? entry)
      .map((entry) => ({ ...entry, isDraining: this.drainingRunners.has(entry.id) }));
  }

  private createClient(clock: Clock): VirtualRunnerClient<RunnerError> {
    return new VirtualRunnerClient(this.pool, {
      clock,
      now: () => this.now,
      maxLeaseMs: replayBounds.maxLeaseMs,
      decideFate: this.options.decideFate ?? ((): CallFate => delivered),
      isCut: (runnerId) => this.cutRunners.has(runnerId),
      lateCallsOutliveProcess: false,
      createError: (kind, message) => new RunnerError(RunnerErrorKind[kind], message),
    });
  }

  private behaviourOf(command: StartCommand): TaskBehaviour {
    const stepIndex = Number(command.task.split('.')[2]);
    const step = this.steps.get(command.jobId)?.[stepIndex] as Step;
    return {
      size: step.size,
      ...(step.isGang ? { gangSize: step.count } : {}),
      durationMs: this.options.durationMs ?? 1_000,
      stopMs: 300,
      savesProgress: step.savesProgress,
      ...this.options.behave?.(command),
    };
  }

  public [Symbol.dispose](): void {
    this.current?.[Symbol.dispose]();
    this.timers.uninstall();
  }
}

/** Pairs of runs of one task that overlap in time. */
function findOverlaps(records: readonly VirtualRunRecord[]): string[] {
  return records.flatMap((first, index) =>
    records
      .slice(index + 1)
      .filter(
        ({ task, startedAt, endedAt }) =>
          task === first.task && startedAt < first.endedAt && first.startedAt < endedAt,
      )
      .map(
        (second) =>
          `${first.task}: run ${first.run} on ${first.runnerId}, run ${second.run} on ${second.runnerId}`,
      ),
  );
}

/** Decides the fates of the first start calls in order; all other calls are delivered. */
function firstStarts(...fates: readonly CallFate[]): (call: VirtualCall) => CallFate {
  const remaining = [...fates];
  return ({ kind }) => (kind === CallKind.start ? remaining.shift() : undefined) ?? delivered;
}

const jobId = '00000000000000aa';
/** Task size that fills a runner. */
const wholeRunner = { size: { cpu: 1_000, memoryMb: 1_000, accelerators: 8 } };

[
  StartOutcome.unhealthy,
  StartOutcome.noCapacity,
  StartOutcome.leaseExpired,
  StartOutcome.invalid,
].forEach((outcome) => {
  // The answer to the retry says nothing about the first call.
  test.serial(
    `a start executed late does not overlap the next run: retry ${outcome}`,
    async (t) => {
      using deployment = new VirtualDeployment({
        runners: 2,
        durationMs: 5_000,
        decideFate: firstStarts(
          { kind: 'late', lateMs: 3_000 },
          { kind: 'refused', outcome, latencyMs: 350 },
        ),
      });
      deployment.submit(jobId, [plainStep]);
      deployment.takeOver();
      await deployment.run(200);
      // Moves the next run to the other runner.
      deployment.drainingRunners.add('r1');
      t.true(await deployment.runUntilCompleted(30_000));
      await deployment.run(10_000);
      t.deepEqual(findOverlaps(deployment.pool.records), []);
    },
  );
});

[RunEnd.done, RunEnd.failed].forEach((end) => {
  // The runner refuses the retry as outdated because the first call was executed.
  test.serial(`the end of a run whose start was not answered is not lost: ${end}`, async (t) => {
    let reportsToDrop = 1;
    let hasStarted = false;
    using deployment = new VirtualDeployment({
      runners: 1,
      durationMs: 100,
      behave: () => (end === RunEnd.failed ? { failsAfterMs: 50 } : {}),
      decideFate: ({ kind }) => {
        if (kind === CallKind.start && !hasStarted) {
          hasStarted = true;
          return { kind: 'answerLost', latencyMs };
        }
        if (kind === CallKind.report && hasStarted && reportsToDrop > 0) {
          reportsToDrop -= 1;
          return { kind: 'dropped' };
        }
        return delivered;
      },
    });
    deployment.submit(jobId, [plainStep]);
    deployment.takeOver();
    await deployment.run(60_000);
    const { records } = deployment.pool;
    t.deepEqual(
      records.map((record) => record.end),
      end === RunEnd.done ? [end] : Array.from({ length: queue.maxAttempts }, () => end),
    );
    t.is(deployment.stateOf(jobId), end === RunEnd.done ? JobState.completed : JobState.failed);
  });
});

test.serial('a step of the wall clock does not expire the leases of a runner early', async (t) => {
  using deployment = new VirtualDeployment({ runners: 2, durationMs: 15_000 });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  await deployment.run(1_500);
  deployment.cutRunners.add('r1');
  await deployment.run(500);
  deployment.wallOffsetMs += 2_500;
  t.true(await deployment.runUntilCompleted(60_000));
  t.is(deployment.pool.records[0]?.end, RunEnd.lapsed);
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});

test.serial('a stop answered before a restart is no proof for the new process', async (t) => {
  const starts: CallFate[] = [{ kind: 'dropped' }, { kind: 'late', lateMs: 3_000 }];
  const stops: CallFate[] = [delivered, { kind: 'dropped' }, { kind: 'dropped' }];
  using deployment = new VirtualDeployment({
    runners: 4,
    durationMs: 5_000,
    decideFate: ({ kind, runnerId, run }) => {
      if (run !== 1) {
        return delivered;
      }
      if (runnerId === 'r1') {
        return { kind: 'refused', outcome: StartOutcome.unhealthy, latencyMs };
      }
      return kind === CallKind.start
        ? (starts.shift() ?? { kind: 'dropped' })
        : (stops.shift() ?? delivered);
    },
  });
  deployment.submit(jobId, [{ ...plainStep, ...wholeRunner, count: 2, isGang: true }]);
  deployment.takeOver();
  await deployment.run(100);
  await deployment.restart('r2', 100);
  t.true(await deployment.runUntilCompleted(30_000));
  await deployment.run(10_000);
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});

test('a late report of an earlier incarnation does not stand for the new one', (t) => {
  const fixture = new DispatchFixture([plainStep], undefined, ['r1']);
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 2 })], fixture.now);
  fixture.report('r1', [], [], 1);
  t.deepEqual(fixture.step().starts, [], 'the new process has not accepted the token');
  fixture.report('r1', [], [], 2);
  t.is(fixture.step().starts.length, 1);
});

test.serial('an expired lease does not prove an end once it is extended again', async (t) => {
  using deployment = new VirtualDeployment({
    runners: 2,
    durationMs: 10_000,
    decideFate: firstStarts(
      { kind: 'late', lateMs: 10_000 },
      { kind: 'dropped' },
      { kind: 'dropped' },
    ),
  });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  await deployment.run(100);
  deployment.cutRunners.add('r1');
  await deployment.run(7_500);
  t.is(deployment.pool.records.length, 1, 'the task runs again');
  deployment.cutRunners.delete('r1');
  // Moves the next job to the runner of the first run.
  deployment.drainingRunners.add('r2');
  await deployment.run(1_500);
  deployment.submit('00000000000000bb', [plainStep]);
  await deployment.run(200);
  t.true(await deployment.runUntilCompleted(60_000));
  t.deepEqual(findOverlaps(deployment.pool.records), []);
});

test.serial('an end on a restarted runner is not lost to an earlier acknowledgement', async (t) => {
  let reportsToDrop = 0;
  using deployment = new VirtualDeployment({
    runners: 1,
    durationMs: 300,
    decideFate: ({ kind }) => {
      if (kind === CallKind.report && reportsToDrop > 0) {
        reportsToDrop -= 1;
        return { kind: 'dropped' };
      }
      return delivered;
    },
  });
  deployment.submit(jobId, [plainStep]);
  deployment.takeOver();
  t.true(await deployment.runUntilCompleted(5_000));
  await deployment.run(1_000);
  await deployment.restart('r1', 50, 5_000);
  reportsToDrop = 1;
  deployment.submit('00000000000000bb', [plainStep]);
  t.true(await deployment.runUntilCompleted(10_000));
  t.deepEqual(
    deployment.pool.records.map(({ end }) => end),
    [RunEnd.done, RunEnd.done],
  );
});
