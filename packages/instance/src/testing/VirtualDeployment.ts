import process from 'node:process';

import type { Clock } from '@apricothoist/common';
import { Random } from '@apricothoist/common';
import type { ListedRunner, Queue, Resources, StartCommand, Step } from '@apricothoist/dispatch';
import { JobState, RunCounters } from '@apricothoist/dispatch';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import type {
  CallFate,
  TaskBehaviour,
  VirtualCall,
  VirtualRunnerClientOptions,
  VirtualRunnerOptions,
} from '@apricothoist/testing';
import {
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
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';

import type { AdviceClient } from '../AdviceClient.js';
import type { CoordinationStore } from '../CoordinationStore.js';
import { CoordinationError, CoordinationErrorKind } from '../CoordinationStore.js';
import { EvacuationRequests } from '../EvacuationRequests.js';
import { StoreKeys } from '../keys.js';
import { LoadLimit } from '../LoadLimit.js';
import type { MaintenanceServices } from '../MaintenanceServices.js';
import type { OperatorConfiguration } from '../OperatorConfiguration.js';
import { RunnerError, RunnerErrorKind } from '../RunnerClient.js';
import type { RegistryListing } from '../RunnerRegistry.js';
import { Scheduling } from '../Scheduling.js';
import type { SchedulingServices } from '../SchedulingServices.js';
import { SuspendAwareClock } from '../SuspendAwareClock.js';
import { VirtualRegistry } from './VirtualRegistry.js';

export const queue = replayQueues.urgent as Queue;
const configurationOf = (route: Queue, guardsCapacity: boolean): OperatorConfiguration => ({
  version: 1,
  routes: [{ ...route, host: 'host', pathPrefix: '/urgent/', isPublic: true }],
  accounts: [{ name: 'anna', guaranteedAccelerators: 0 }],
  accountByKey: new Map(),
  unguardedServices: new Set(guardsCapacity ? [] : [route.service]),
  maxBodyBytes: 1_000,
});
/** Milliseconds that a gang waits for its members. */
const gangTimeoutMs = 4_000;
/** RUN_LOG=info prints the decisions and, for a failed seed, the calls that concern the task. */
export const isTraced = process.env.RUN_LOG === 'info';
const logLevel = isTraced ? LogLevel.info : LogLevel.error;
/** RUN_LATE=outlive lets late calls reach a process that started after they were sent. */
const lateCallsOutliveProcess = process.env.RUN_LATE === 'outlive';
export const latencyMs = 2;
/** Milliseconds after its last write at which the entry of a silent runner expires. */
const entryTtlMs = 4_500;
/** Share of its time that the clock of a runner may lose. */
const maxClockSlowness = 0.02;
/** Milliseconds for which two instances believe that they are the holder. */
const formerTermMs = 200;
export const delivered: CallFate = { kind: 'delivered', latencyMs };

interface TraceLine {
  readonly runnerId: string;
  readonly text: string;
}

export interface Downtime {
  readonly downMs: number;
  /** Milliseconds from the start of the next process to its registry entry. */
  readonly registeredAfterMs: number;
}

const defaultDowntime: Downtime = { downMs: 2_500, registeredAfterMs: 0 };

export interface DeploymentOptions {
  readonly runners: number;
  /** Data centres that the runners are in by turns. */
  readonly dataCentres?: readonly string[];
  readonly guardsCapacity?: boolean;
  readonly admitsPermit?: VirtualRunnerOptions['admitsPermit'];
  readonly advice?: AdviceClient;
  readonly capacity?: Resources;
  readonly decideFate?: (call: VirtualCall) => CallFate;
  readonly alterReport?: VirtualRunnerClientOptions<RunnerError>['alterReport'];
  readonly queue?: Queue;
  readonly durationMs?: number;
  readonly behave?: (command: StartCommand) => Partial<TaskBehaviour>;
  /** How long a runner is down that a task has crashed. */
  readonly drawDowntime?: () => Downtime;
  readonly maintenance?: MaintenanceServices;
  /** Puts faults between the scheduling instance and its store. */
  readonly wrapStore?: (store: CoordinationStore) => CoordinationStore;
}

/** The scheduling instance with virtual runners and a store, in virtual time. */
export class VirtualDeployment implements Disposable {
  private readonly timers = install({
    now: 1_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });

  public readonly pool = new VirtualRunnerPool(gangTimeoutMs);

  public readonly store = new VirtualCoordinationStore();

  public readonly evacuations = new EvacuationRequests('evacuate/');

  public readonly registry = new VirtualRegistry(this.store, entryTtlMs, () => this.now);

  public readonly cutRunners = new Set<string>();

  /** Runners to which connections are refused, whether or not they are up. */
  public readonly refusingRunners = new Set<string>();

  /** Registry entries of incarnations that have ended, until the next one has registered. */
  private readonly staleEntries = new Map<string, ListedRunner>();

  /** Capacities by runner that the registry still shows after a change. */
  private readonly staleCapacities = new Map<string, Resources>();

  public readonly unlistedRunners = new Set<string>();

  public readonly drainingRunners = new Set<string>();

  /** Times at which the remaining time ends that draining runners announce. */
  public readonly announcedEnds = new Map<string, number>();

  /** Whether reads of the registry fail. */
  public isRegistryUnreadable = false;

  /** Milliseconds by which the wall clock is ahead. */
  public wallOffsetMs = 0;

  private readonly jobSteps = new Map<string, readonly Step[]>();

  private current: Scheduling | undefined;

  private currentToken = 0;

  private readonly terms = new Map<number, Scheduling>();

  public readonly resignations: string[] = [];

  private readonly traceLines: TraceLine[] = [];

  public constructor(private readonly options: DeploymentOptions) {
    const { capacity, dataCentres = [] } = options;
    for (let number = 1; number <= options.runners; number += 1) {
      const dataCentre = dataCentres[number % dataCentres.length];
      this.pool.add(
        new VirtualRunner(
          {
            entry: listedRunner(`r${number}`, {
              ...(capacity && { capacity }),
              ...(dataCentre && { dataCentre }),
            }),
            clockSlowness: 1 + (maxClockSlowness * number) / options.runners,
            maxLeaseMs: replayBounds.maxLeaseMs,
            guardsCapacity: options.guardsCapacity ?? true,
            ...(options.admitsPermit && { admitsPermit: options.admitsPermit }),
            behaviourOf: (command) => this.behaviourOf(command),
          },
          this.pool,
          0,
        ),
      );
    }
    this.pool.onCrash((runner, crashedAt) => {
      const downtime = (options.drawDowntime ?? ((): Downtime => defaultDowntime))();
      this.trace(runner.id, runner.id, `crashed by a task at ${crashedAt}`);
      this.bringBack(runner, crashedAt, downtime);
    });
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

  /** Tells the runners what the tasks of a job are that is not stored by `submit`. */
  public defineTasks(id: string, steps: readonly Step[]): void {
    this.jobSteps.set(id, steps);
  }

  public submit(id: string, steps: readonly Partial<Step>[]): void {
    const whole = steps.map((step): Step => ({ ...plainStep, ...step }));
    this.defineTasks(id, whole);
    const specification = { ...createSpecification(id, whole), acceptedAt: this.now };
    this.store.put(
      StoreKeys.job(id),
      JSON.stringify({ specification, queue: this.options.queue ?? queue }),
    );
  }

  /** Starts a term with a higher token, and ends the term before it. */
  public takeOver(): void {
    const former = this.current;
    // The former holder learns a little later that its term has ended.
    setTimeout(() => former?.[Symbol.dispose](), formerTermMs);
    const token = this.store.put(StoreKeys.holder, '{}');
    this.currentToken = token;
    this.pool.all.forEach(({ id }) => this.trace(id, id, `is taken over by ${token}`));
    this.current = new Scheduling(
      this.createServices(token),
      token,
      configurationOf(this.options.queue ?? queue, this.options.guardsCapacity ?? true),
    );
    this.terms.set(token, this.current);
    this.current.start();
  }

  /** Ends the present term; nothing is scheduled until the next one. */
  public endTerm(): void {
    this.current?.[Symbol.dispose]();
    this.current = undefined;
  }

  private createServices(token: number): SchedulingServices {
    const steadyClock: Clock = {
      monotonic: () => this.now,
      wall: () => this.now + this.wallOffsetMs,
    };
    const clock = new SuspendAwareClock(steadyClock);
    return {
      store: this.options.wrapStore?.(this.store) ?? this.store,
      evacuations: this.evacuations,
      maintenance: this.options.maintenance,
      registry: { invalidEntries: 0, list: () => this.listRegistry() },
      runners: this.createClient(clock),
      ...(this.options.advice && { advice: this.options.advice }),
      clock,
      steadyClock,
      random: new Random(token),
      log: new EventLog('test', logLevel, LogFormat.text, clock),
      bounds: replayBounds,
      counters: new RunCounters(),
      token: () => token,
      // As the election does: the term ends before the call returns.
      resign: (reason) => {
        this.terms.get(token)?.[Symbol.dispose]();
        if (token === this.currentToken) {
          this.resignations.push(reason);
        }
      },
      transfer: () => {},
      loadLimit: new LoadLimit(),
      strongestCores: () => 1,
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
    return this.runUntil(
      () => [...this.jobSteps.keys()].every((id) => this.stateOf(id) === JobState.completed),
      limitMs,
    );
  }

  /** Advances virtual time until a condition holds; false if it does not within the limit. */
  public async runUntil(holds: () => boolean, limitMs: number): Promise<boolean> {
    const end = this.now + limitMs;
    while (!holds()) {
      if (this.now >= end) {
        return false;
      }
      await this.run(100);
    }
    return true;
  }

  /** Crashes a runner and starts it again under its id, `downMs` later. */
  public restart(runnerId: string, downMs: number, registeredAfterMs = 0): void {
    const runner = this.pool.get(runnerId);
    this.pool.advance(this.now);
    if (!runner.isUp) {
      return;
    }
    this.trace(
      runnerId,
      runnerId,
      `crashed for ${downMs} ms, then registered ${registeredAfterMs} ms later`,
    );
    this.bringBack(runner, this.now, { downMs, registeredAfterMs });
    runner.crash(this.now);
  }

  // The registry keeps the entry of a crashed process until the next one has registered.
  private bringBack(
    runner: VirtualRunner,
    crashedAt: number,
    { downMs, registeredAfterMs }: Downtime,
  ): void {
    const { id, entry } = runner;
    const backAt = crashedAt + downMs;
    this.staleEntries.set(id, entry);
    setTimeout(() => runner.restart(this.now, this.now), backAt - this.now);
    setTimeout(
      () => {
        if (this.staleEntries.get(id) === entry) {
          this.staleEntries.delete(id);
        }
      },
      backAt + registeredAfterMs - this.now,
    );
  }

  /** Changes the capacity of a runner, which the registry shows `listedAfterMs` later. */
  public resize(runnerId: string, capacity: Resources, listedAfterMs = 0): void {
    const runner = this.pool.get(runnerId);
    const stale = this.staleCapacities.get(runnerId) ?? runner.capacity;
    this.pool.advance(this.now);
    runner.resize(capacity);
    this.trace(runnerId, runnerId, `resized to ${JSON.stringify(capacity)}`);
    this.staleCapacities.set(runnerId, stale);
    setTimeout(() => this.staleCapacities.delete(runnerId), listedAfterMs);
  }

  private async listRegistry(): Promise<Result<RegistryListing, CoordinationError>> {
    const listed = await this.store.list('runners/');
    const { unreadableIds, idsToOmit } = this.registry;
    const runners = this.listRunners().filter(({ id }) => !idsToOmit.has(id));
    idsToOmit.clear();
    return this.isRegistryUnreadable
      ? err(new CoordinationError(CoordinationErrorKind.unanswered, 'no response'))
      : listed.map(() => ({
          entries: runners
            .filter(({ id }) => !unreadableIds.has(id))
            .map((runner) => ({ runner, revision: this.registry.revisionOf(runner.id) })),
          unreadableIds,
        }));
  }

  private listRunners(): ListedRunner[] {
    return this.pool.all
      .filter(({ id }) => !this.unlistedRunners.has(id) && this.registry.contains(id))
      .map(({ id, entry }) => ({
        ...entry,
        capacity: this.staleCapacities.get(id) ?? entry.capacity,
      }))
      .map((entry) => this.staleEntries.get(entry.id) ?? entry)
      .map((entry) => ({ ...entry, ...this.announcementOf(entry.id) }))
      .map((entry) => ({
        ...this.registry.show(entry),
        ...this.registry.overwritten.get(entry.id),
      }));
  }

  private announcementOf(id: string): Pick<ListedRunner, 'isDraining' | 'minRemainingMs'> {
    const isDraining = this.drainingRunners.has(id);
    const endsAt = this.announcedEnds.get(id);
    return isDraining && endsAt !== undefined
      ? { isDraining, minRemainingMs: Math.max(0, endsAt - this.registry.writtenAt(id)) }
      : { isDraining };
  }

  private createClient(clock: Clock): VirtualRunnerClient<RunnerError> {
    const { alterReport } = this.options;
    return new VirtualRunnerClient(this.pool, {
      clock,
      now: () => this.now,
      maxLeaseMs: replayBounds.maxLeaseMs,
      decideFate: this.options.decideFate ?? ((): CallFate => delivered),
      ...(alterReport && { alterReport }),
      trace: (call, text) => this.trace(call.runnerId, JSON.stringify(call), text),
      isCut: (runnerId) => this.cutRunners.has(runnerId),
      isRefusing: (runnerId) => this.refusingRunners.has(runnerId),
      lateCallsOutliveProcess,
      createError: (kind, message) => new RunnerError(RunnerErrorKind[kind], message),
    });
  }

  private behaviourOf(command: StartCommand): TaskBehaviour {
    const step = this.stepOf(command.task);
    return {
      size: step.size,
      ...(step.isGang ? { gangSize: step.count } : {}),
      durationMs: this.options.durationMs ?? 1_000,
      stopMs: 300,
      savesProgress: step.savesProgress,
      ...this.options.behave?.(command),
    };
  }

  private trace(runnerId: string, subject: string, text: string): void {
    this.traceLines.push({ runnerId, text: `${this.now} ${subject} ${text}` });
  }

  /** What is known of the violations that name a task: all that concerns it and its runners. */
  public explain(violations: readonly string[]): string[] {
    const tasks = violations.map((text) => text.split(':')[0] ?? '').filter((task) => task !== '');
    const records = this.pool.records.filter(({ task }) => tasks.includes(task));
    const runnerIds = new Set(records.map(({ runnerId }) => runnerId));
    const isRelated = ({ runnerId, text }: TraceLine): boolean =>
      tasks.some((task) => text.includes(task)) ||
      (runnerIds.has(runnerId) && !text.includes('"task":'));
    return [
      ...records.map((record) => JSON.stringify(record)),
      ...this.traceLines.filter(isRelated).map(({ text }) => text),
    ];
  }

  /** The step of a task. */
  public stepOf(task: string): Step {
    const [id = '', , stepIndex] = task.split('.');
    return this.jobSteps.get(id)?.[Number(stepIndex)] as Step;
  }

  public [Symbol.dispose](): void {
    this.current?.[Symbol.dispose]();
    this.timers.uninstall();
  }
}
