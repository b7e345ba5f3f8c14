import type { Clock } from '@apricothoist/common';
import { Random } from '@apricothoist/common';
import type { JobState, ListedRunner, Queue, StartCommand, Step } from '@apricothoist/dispatch';
import { RunCounters, StartOutcome } from '@apricothoist/dispatch';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import type { CallFate, TaskBehaviour, VirtualCall, VirtualRunRecord } from '@apricothoist/testing';
import {
  CallKind,
  createSpecification,
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

  public readonly drainingRunners = new Set<string>();

  /** Milliseconds by which the wall clock is ahead. */
  public wallOffsetMs = 0;

  private readonly steps = new Map<string, readonly Step[]>();

  private current: Scheduling | undefined;

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
    const clock = new SuspendAwareClock(this.createClock());
    this.current = new Scheduling(
      {
        store: this.store,
        registry: {
          list: async () => ok(this.listRunners()),
        },
        runners: this.createClient(clock),
        clock,
        random: new Random(token),
        log: new EventLog('test', LogLevel.error, LogFormat.json, clock),
        bounds: replayBounds,
        counters: new RunCounters(),
        token: () => token,
        resign: () => {},
        publish: () => {},
      },
      token,
      configuration,
    );
    this.current.start();
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
    while ([...this.steps.keys()].some((id) => this.stateOf(id) !== 'completed')) {
      if (this.now >= end) {
        return false;
      }
      await this.run(100);
    }
    return true;
  }

  private listRunners(): ListedRunner[] {
    return this.pool.all
      .filter(({ isUp }) => isUp)
      .map(({ id, entry }) => ({ ...entry, isDraining: this.drainingRunners.has(id) }));
  }

  private createClock(): Clock {
    return { monotonic: () => this.now, wall: () => this.now + this.wallOffsetMs };
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
