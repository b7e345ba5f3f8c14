import { delay, messageOf } from '@apricothoist/common';
import type { DecisionKind, DecisionLog, StartCommand, StartOutcome } from '@apricothoist/dispatch';
import { defaultPolicy, Dispatcher } from '@apricothoist/dispatch';

import { FeedUpdateBuffer, isIdle } from './FeedUpdateBuffer.js';
import type { CoordinationError } from './CoordinationStore.js';
import { DecisionEvents, JobEvents } from './events.js';
import type { HeldJobs } from './HeldJobs.js';
import { LearnedStateStore } from './LearnedStateStore.js';
import { MaintenanceWaves } from './MaintenanceWaves.js';
import { StoredJobLoader } from './StoredJobLoader.js';
import { StoreKeys } from './keys.js';
import { StoredStateReader } from './StoredStateReader.js';
import type { OperatorConfiguration } from './OperatorConfiguration.js';
import { AdviceLoop } from './AdviceLoop.js';
import { CommandSender } from './CommandSender.js';
import { PrefixFollower } from './PrefixFollower.js';
import type { ProcessedEnd } from './ProgressQueue.js';
import { ProgressQueue } from './ProgressQueue.js';
import { ProgressWriter } from './ProgressWriter.js';
import { RecordRemoval } from './RecordRemoval.js';
import type { RunnerList } from './RunnerLister.js';
import { RunnerLister } from './RunnerLister.js';
import type { RunnerLinkOwner } from './RunnerLink.js';
import { RunnerLinks } from './RunnerLinks.js';
import type { SchedulingServices } from './SchedulingServices.js';
import { TombstoneRemoval } from './TombstoneRemoval.js';
import type { Tombstones } from './Tombstones.js';
import { UnreadableRecords } from './UnreadableRecords.js';

/** Milliseconds between scheduling steps while no event arrives. */
const idleStepIntervalMs = 100;
/** Milliseconds for which events are batched into one scheduling step. */
const stepBatchMs = 4;
/**
 * Milliseconds that a watch of accepted jobs waits; an unresponsive watch is detected soon after.
 */
const watchMs = 1_500;
/** Milliseconds between two lines about failed writes of progress. */
const failureLogIntervalMs = 1_000;

/** Decisions that a load makes once for each stored job and listed runner; J722 has their numbers. */
const loadDecisions = new Set<DecisionKind>(['jobQueued', 'runnerListed']);

/** What the load of the stored state has cost. */
export interface LoadCost {
  readonly tookMs: number;
  /** Bytes of jobs and progress. */
  readonly bytes: number;
}

/**
 * One leadership term as the scheduling instance: loads the stored state, fences the previous
 * holder at each runner, and then turns events into commands. A command is sent only after the
 * progress record that contains it is stored.
 */
export class Scheduling implements RunnerLinkOwner, Disposable {
  public readonly dispatcher: Dispatcher;

  /** Cost of the load of the stored state; undefined until it is done. */
  public loadCost: LoadCost | undefined;

  private readonly links: RunnerLinks;

  private readonly lastStoredEnds = new Map<string, { processStartedAt: number; end: number }>();

  private readonly watch: PrefixFollower;

  private readonly writer: ProgressWriter;

  /** Progress that is not stored yet, with the starts that wait for it. */
  public readonly progress: ProgressQueue;

  private readonly commandSender: CommandSender;

  private readonly adviceLoop: AdviceLoop;

  private readonly jobLoader: StoredJobLoader;

  private readonly recordRemoval: RecordRemoval;

  private readonly unreadable: UnreadableRecords;

  private loadTimer: NodeJS.Timeout | undefined;

  private isStopped = false;

  /** Whether the stored state is being applied. */
  private isLoading = false;

  private hasPendingEvents = false;

  private resumeLoop: (() => void) | undefined;

  private readonly feedUpdates = new FeedUpdateBuffer();

  private readonly learnedState: LearnedStateStore;

  private readonly runnerLister: RunnerLister;

  public readonly maintenance: MaintenanceWaves | undefined;

  /** Failed writes of progress in this term. */
  private unstoredFailures = 0;

  private unstoredLoggedAt = -Infinity;

  public constructor(
    private readonly services: SchedulingServices,
    private readonly termToken: number,
    configuration: OperatorConfiguration | undefined,
  ) {
    const { store, clock, steadyClock, random, log, bounds, counters } = services;
    const decisionLog: DecisionLog = {
      decide: (kind, fields) => {
        if (!this.isLoading || !loadDecisions.has(kind)) {
          log.emit(DecisionEvents[kind], fields);
        }
      },
    };
    this.dispatcher = new Dispatcher(bounds, decisionLog, defaultPolicy, counters);
    if (configuration !== undefined) {
      this.configure(configuration);
    }
    const { runners, registry } = services;
    this.runnerLister = new RunnerLister(registry, clock);
    this.links = new RunnerLinks(services, this.dispatcher, this, (error) => this.logError(error));
    this.commandSender = new CommandSender(
      this.dispatcher,
      runners,
      clock,
      steadyClock,
      this,
      (error) => this.logError(error),
    );
    const { advice } = this.dispatcher;
    this.adviceLoop = new AdviceLoop(advice, services, this);
    this.unreadable = new UnreadableRecords(log, counters);
    this.jobLoader = new StoredJobLoader(
      store,
      this.dispatcher,
      clock,
      steadyClock,
      this.unreadable,
      () => !this.isStopped,
    );
    const followSettings = { watchMs, watchesPerRead: Infinity };
    this.watch = new PrefixFollower(store, clock, random, StoreKeys.jobPrefix, followSettings);
    this.watch.onItems(({ items, requestedAt }) => {
      this.jobLoader.loadChanges(items, requestedAt);
      this.wake();
    });
    this.learnedState = new LearnedStateStore(
      store,
      this.dispatcher,
      clock,
      termToken,
      services.strongestCores,
      this.unreadable,
      ({ kind, message }) => log.emit(JobEvents.learnedStateNotStored, { kind, message }),
    );
    this.maintenance =
      services.maintenance &&
      new MaintenanceWaves(
        services.maintenance,
        store,
        this.dispatcher.maintenance,
        clock,
        log,
        termToken,
        () => this.token !== undefined,
        (error) => this.logError(error),
      );
    this.writer = new ProgressWriter(
      store,
      clock,
      random,
      termToken,
      () => !this.isStopped,
      (key) => log.emit(JobEvents.progressConflict, { key }),
      (error, jobs) => this.logUnstored(error, jobs),
    );
    const tombstoneRemoval = new TombstoneRemoval(
      this.tombstones,
      store,
      clock,
      termToken,
      ({ kind, message }, tombstones) =>
        log.emit(JobEvents.tombstonesNotRemoved, { kind, message, tombstones }),
    );
    this.recordRemoval = new RecordRemoval(
      this.dispatcher,
      this.jobLoader,
      this.writer,
      tombstoneRemoval,
    );
    this.recordRemoval.onJobsRemoved((ids) => this.feedUpdates.recordDeleted(ids));
    this.progress = new ProgressQueue(this.writer, clock, (error) => {
      this.logError(error);
      this.resign('unexpected error while progress was stored');
    });
    this.progress.onStored(({ states, starts, ends }) => {
      ends.forEach(({ id, processStartedAt, end }) =>
        this.lastStoredEnds.set(id, { processStartedAt, end }),
      );
      this.feedUpdates.recordStates(states);
      // While the lease is in doubt, the sender does not send them, and their runs end at once.
      this.commandSender.start(starts);
      if (ends.length > 0) {
        this.links.update();
      }
      this.wake();
    });
    this.progress.onRefused(() => this.resign('progress cannot be stored'));
  }

  public get token(): number | undefined {
    const token = this.services.token();
    return !this.isStopped && token === this.termToken ? token : undefined;
  }

  /** Cancellations of jobs that are not stored. */
  public get tombstones(): Tombstones {
    return this.jobLoader.tombstones;
  }

  /** Jobs that are not scheduled, since a record of them cannot be read. */
  public get heldJobs(): HeldJobs {
    return this.jobLoader.held;
  }

  public start(): void {
    this.run().catch((error: unknown) => {
      this.logError(error, 'scheduling');
      this.resign('unexpected error in the scheduling loop');
    });
  }

  public configure(configuration: OperatorConfiguration): void {
    this.dispatcher.configure(
      new Map(configuration.routes.map((route) => [route.name, route])),
      new Map(configuration.accounts.map((account) => [account.name, account])),
      configuration.unguardedServices,
    );
    this.wake();
  }

  public lastStoredEnd(runnerId: string): number {
    const stored = this.lastStoredEnds.get(runnerId);
    const runner = this.dispatcher.state.runners.get(runnerId);
    return stored !== undefined && stored.processStartedAt === runner?.listed.processStartedAt
      ? stored.end
      : 0;
  }

  public wake(): void {
    this.hasPendingEvents = true;
    this.resumeLoop?.();
  }

  public yieldToSuccessor(runnerId: string): void {
    this.resign(`runner ${runnerId} was called with a newer token`);
  }

  public reportUnsettledStart(command: StartCommand, outcomes: readonly StartOutcome[]): void {
    const { log, counters } = this.services;
    const { runnerId, jobId, task, run } = command;
    counters.unsettledStarts += 1;
    log.emit(JobEvents.startUnsettled, {
      job: jobId,
      task,
      run,
      runner: runnerId,
      startedAt: this.dispatcher.state.runners.get(runnerId)?.listed.processStartedAt,
      token: this.termToken,
      outcomes: outcomes.join(','),
    });
  }

  public async confirmRunner(runnerId: string): Promise<boolean> {
    return this.links.confirm(runnerId);
  }

  public reportUnansweredCall(runnerId: string, message: string): void {
    this.services.log.emit(JobEvents.runnerUnanswered, { runner: runnerId, message });
  }

  // Callbacks that outlive their term must not end a later term of the same instance.
  private resign(reason: string): void {
    if (!this.isStopped) {
      this.services.resign(reason);
    }
  }

  private get now(): number {
    return this.services.clock.monotonic();
  }

  private async run(): Promise<void> {
    if (!(await this.loadStoredState())) {
      return;
    }
    while (!this.isStopped) {
      // The lease may be temporarily in doubt, for example after a suspension of the machine; only
      // the election ends a term.
      if (this.token !== undefined) {
        this.step();
      }
      await this.waitForEvents();
    }
  }

  private async waitForEvents(): Promise<void> {
    if (!this.hasPendingEvents) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, idleStepIntervalMs);
        this.resumeLoop = () => {
          clearTimeout(timer);
          resolve();
        };
      });
      this.resumeLoop = undefined;
    }
    await delay(stepBatchMs);
    this.hasPendingEvents = false;
  }

  private async loadStoredState(): Promise<boolean> {
    const { store, clock, log, loadLimit } = this.services;
    const startedAt = this.now;
    const reader = new StoredStateReader(
      store,
      this.runnerLister,
      clock,
      log,
      () => !this.isStopped,
      () => this.token !== undefined,
    );
    this.limitLoad(reader, startedAt);
    const stored = await reader.read();
    clearTimeout(this.loadTimer);
    if (stored === undefined) {
      return false;
    }
    const tookMs = Math.round(this.now - startedAt);
    loadLimit.recordLoad(tookMs);
    this.loadCost = { tookMs, bytes: stored.bytes };
    const { runners, jobs, progress, revision } = stored;
    this.isLoading = true;
    this.learnedState.restore(stored.learnedState);
    this.applyRunnerList(runners);
    this.jobLoader.loadAll(jobs, progress);
    this.isLoading = false;
    this.watch.start((error, loop) => this.logError(error, loop), revision);
    this.adviceLoop.start((error, loop) => this.logError(error, loop));
    this.links.update();
    log.emit(JobEvents.storedStateLoaded, {
      token: this.termToken,
      jobs: this.dispatcher.state.jobs.size,
      progressRecords: progress.length,
      runners: runners.runners.length,
      revision,
      bytes: stored.bytes,
      tries: stored.tries,
      tookMs,
    });
    this.publishSnapshot();
    return true;
  }

  private limitLoad(reader: StoredStateReader, startedAt: number): void {
    const deadline = this.services.loadLimit.deadlineFrom(this.now);
    this.loadTimer = setTimeout(() => {
      // A lease in doubt cannot be ended either: the store is out of reach, perhaps for all.
      if (this.token === undefined) {
        this.limitLoad(reader, startedAt);
      } else {
        this.giveUpLoad(reader, startedAt);
      }
    }, deadline - this.now);
  }

  private giveUpLoad(reader: StoredStateReader, startedAt: number): void {
    this.services.loadLimit.recordFailure();
    const { jobItems, progressRecords, failures, lastFailure = 'none' } = reader.status;
    this.services.transfer(
      `stored jobs not loaded after ${Math.round(this.now - startedAt)} ms: ${jobItems} items of ` +
        `jobs and ${progressRecords} of progress read, ${failures} failed reads, last: ${lastFailure}`,
    );
  }

  private step(): void {
    this.listRunnersIfDue().catch((error: unknown) => this.logError(error));
    const { clock, steadyClock, evacuations } = this.services;
    this.dispatcher.evacuate(evacuations.dataCentres, evacuations.confirmedAt);
    this.maintenance?.step();
    const commands = this.dispatcher.step(this.now, clock.wall(), steadyClock.monotonic());
    commands.stops.forEach((command) => this.commandSender.stop(command));
    this.progress.add({
      jobs: this.dispatcher.takeUnstoredJobs(),
      starts: commands.starts,
      ends: this.unstoredEnds,
    });
    // A run must not count as ended by its lease while its start waits for the store.
    this.progress.waitingStarts.forEach(({ runnerId }) =>
      this.dispatcher.recordLeaseExtension(runnerId, steadyClock.monotonic()),
    );
    this.links.update();
    this.adviceLoop.wake();
    this.recordRemoval.removeIfDue().catch((error: unknown) => this.logError(error));
    this.heldJobs.readIfDue().catch((error: unknown) => this.logError(error));
    if (this.token !== undefined) {
      this.publishChanges();
      this.learnedState.writeIfDue().catch((error: unknown) => this.logError(error));
    }
  }

  private get unstoredEnds(): readonly ProcessedEnd[] {
    return [...this.dispatcher.state.runners.values()]
      .filter(({ id, processedEndNumber }) => this.lastStoredEnd(id) !== processedEndNumber)
      .map(({ id, listed, processedEndNumber }) => ({
        id,
        processStartedAt: listed.processStartedAt,
        end: processedEndNumber,
      }));
  }

  private publishChanges(): void {
    const update = this.feedUpdates.takeDue(this.now, () =>
      this.dispatcher.describeQueues(this.now),
    );
    if (update !== undefined) {
      this.services.publish(update);
    }
  }

  private publishSnapshot(): void {
    const { dispatcher, services } = this;
    const queues = [...dispatcher.describeQueues(this.now)];
    services.publish({
      isWhole: true,
      states: [...dispatcher.state.jobs.values()].map((job) => [job.id, job.state]),
      forgotten: [],
      queues: queues.filter(([, status]) => !isIdle(status)),
      largestRunner: queues[0]?.[1].largestRunner ?? 0,
    });
  }

  private async listRunnersIfDue(): Promise<void> {
    const runners = await this.runnerLister.listIfDue();
    if (runners !== undefined && !this.isStopped) {
      this.applyRunnerList(runners);
      this.links.update();
      this.wake();
    }
  }

  private applyRunnerList({ runners, unreadableIds, requestedAt }: RunnerList): void {
    this.dispatcher.updateRunners(runners, this.now, requestedAt, unreadableIds);
  }

  // Several writes fail at the same time while the store is out of reach.
  private logUnstored({ kind, message }: CoordinationError, jobs: number): void {
    this.unstoredFailures += 1;
    if (this.now - this.unstoredLoggedAt >= failureLogIntervalMs) {
      this.unstoredLoggedAt = this.now;
      const failures = this.unstoredFailures;
      this.services.log.emit(JobEvents.progressNotStored, { kind, message, jobs, failures });
    }
  }

  private logError(error: unknown, loop?: string): void {
    this.services.counters.unexpectedErrors += 1;
    this.services.log.emit(JobEvents.unexpectedError, { loop, message: messageOf(error) });
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
    clearTimeout(this.loadTimer);
    this.watch[Symbol.dispose]();
    this.maintenance?.[Symbol.dispose]();
    this.progress[Symbol.dispose]();
    this.recordRemoval[Symbol.dispose]();
    this.adviceLoop[Symbol.dispose]();
    this.links[Symbol.dispose]();
    this.resumeLoop?.();
  }
}
