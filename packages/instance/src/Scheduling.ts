import type { Clock, Random } from '@apricothoist/common';
import { delay, messageOf } from '@apricothoist/common';
import type { DispatchBounds, ListedRunner, Runner } from '@apricothoist/dispatch';
import { Dispatcher } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';
import type { Result } from 'neverthrow';

import type { JobNews } from './BoardNews.js';
import { BoardNews } from './BoardNews.js';
import type { CoordinationError, CoordinationStore } from './CoordinationStore.js';
import { DecisionEvents, JobEvents } from './events.js';
import { ExperienceKeeper } from './ExperienceKeeper.js';
import { JobIntake } from './JobIntake.js';
import { StoreKeys } from './keys.js';
import type { OperatorConfiguration } from './OperatorConfiguration.js';
import { OrderSender } from './OrderSender.js';
import { PrefixFollower } from './PrefixFollower.js';
import { ProgressWriter } from './ProgressWriter.js';
import type { RunnerClient } from './RunnerClient.js';
import type { LinkOwner } from './RunnerLink.js';
import { RunnerLink } from './RunnerLink.js';
import { StorePace } from './StorePace.js';

/** Milliseconds between two steps when nothing happens. */
const idleStepMs = 100;
/** Milliseconds for which events are collected into one step. */
const collectMs = 4;
/** Milliseconds between two readings of the registry; drains must be seen within two seconds. */
const listEveryMs = 700;
/** Milliseconds that a watch of the accepted jobs waits; a silent one is noticed soon after. */
const watchMs = 1_500;
/** Milliseconds for reading all that is stored at a takeover: pages of up to a megabyte each. */
const takeoverCallMs = 2_000;
/** Milliseconds before a takeover is tried again. */
const takeoverRetryMs = 100;
/** The registry of runners. */
export interface RunnerRegistry {
  list(deadline: number): Promise<Result<readonly ListedRunner[], CoordinationError>>;
}

/** What the scheduling needs from its instance. */
export interface SchedulingServices {
  readonly store: CoordinationStore;
  readonly registry: RunnerRegistry;
  readonly runners: RunnerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly bounds: DispatchBounds;
  /** Token while the lease can be relied on. */
  readonly token: () => number | undefined;
  readonly resign: (reason: string) => void;
  readonly publish: (news: JobNews) => void;
}

/**
 * One tenure as the scheduling instance: reads what is stored, fences the former holder out at each
 * runner, and then turns events into orders. An order leaves only after the progress that tells of
 * it is stored.
 */
export class Scheduling implements LinkOwner, Disposable {
  public readonly dispatcher: Dispatcher;

  private readonly links = new Map<string, RunnerLink>();

  private readonly storedEnds = new Map<string, { bornAt: number; end: number }>();

  private readonly watch: PrefixFollower;

  private readonly writer: ProgressWriter;

  private readonly sender: OrderSender;

  private readonly intake: JobIntake;

  private isStopped = false;

  private isWoken = false;

  private resume: (() => void) | undefined;

  private listedAt = -Infinity;

  private readonly news = new BoardNews();

  private readonly experience: ExperienceKeeper;

  private isListing = false;

  public constructor(
    private readonly services: SchedulingServices,
    private readonly tenureToken: number,
    configuration: OperatorConfiguration | undefined,
  ) {
    const { store, clock, random, log, bounds } = services;
    this.dispatcher = new Dispatcher(bounds, {
      decide: (kind, fields) => log.emit(DecisionEvents[kind], fields),
    });
    if (configuration !== undefined) {
      this.configure(configuration);
    }
    const { runners } = services;
    this.sender = new OrderSender(this.dispatcher, runners, clock, this, (error) =>
      this.fail(error),
    );
    this.intake = new JobIntake(this.dispatcher, clock, log);
    const pace = { watchMs, watchesPerRead: Infinity };
    this.watch = new PrefixFollower(store, clock, random, StoreKeys.jobPrefix, pace);
    this.watch.onItems(({ items }) => {
      this.intake.takeItems(items);
      this.wake();
    });
    this.experience = new ExperienceKeeper(
      store,
      this.dispatcher,
      clock,
      tenureToken,
      ({ kind, message }) => log.emit(JobEvents.experienceNotKept, { kind, message }),
    );
    this.writer = new ProgressWriter(
      store,
      clock,
      random,
      tenureToken,
      () => !this.isStopped,
      (key) => log.emit(JobEvents.progressConflict, { key }),
      ({ kind, message }, jobs) => log.emit(JobEvents.progressNotStored, { kind, message, jobs }),
    );
  }

  public get token(): number | undefined {
    const token = this.services.token();
    return !this.isStopped && token === this.tenureToken ? token : undefined;
  }

  public start(): void {
    this.run().catch((error: unknown) => {
      this.services.log.emit(JobEvents.unexpectedError, { message: messageOf(error) });
      this.resign('scheduling failed');
    });
  }

  public configure(configuration: OperatorConfiguration): void {
    this.dispatcher.configure(
      new Map(configuration.routes.map((route) => [route.name, route])),
      new Map(configuration.accounts.map((account) => [account.name, account])),
    );
    this.wake();
  }

  public storedEnd(runnerId: string): number {
    const stored = this.storedEnds.get(runnerId);
    const runner = this.dispatcher.state.runners.get(runnerId);
    return stored !== undefined && stored.bornAt === runner?.listed.bornAt ? stored.end : 0;
  }

  public wake(): void {
    this.isWoken = true;
    this.resume?.();
  }

  public yieldToSuccessor(runnerId: string): void {
    this.resign(`runner ${runnerId} follows a successor`);
  }

  public reportUnanswered(runnerId: string, message: string): void {
    this.services.log.emit(JobEvents.runnerUnanswered, { runner: runnerId, message });
  }

  // What is left of a former tenure must not end the present one of the same instance.
  private resign(reason: string): void {
    if (!this.isStopped) {
      this.services.resign(reason);
    }
  }

  private get now(): number {
    return this.services.clock.monotonic();
  }

  private async run(): Promise<void> {
    if (!(await this.takeOver())) {
      return;
    }
    while (!this.isStopped) {
      // The lease may be in doubt for a moment, after a suspension for example; it is the election
      // that ends a tenure.
      if (this.token !== undefined) {
        await this.step();
      }
      await this.rest();
    }
  }

  private async rest(): Promise<void> {
    if (!this.isWoken) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, idleStepMs);
        this.resume = () => {
          clearTimeout(timer);
          resolve();
        };
      });
      this.resume = undefined;
    }
    await delay(collectMs);
    this.isWoken = false;
  }

  private async takeOver(): Promise<boolean> {
    const { store, registry, log } = this.services;
    while (!this.isStopped) {
      const deadline = this.now + takeoverCallMs;
      const [runners, jobs, progress] = await Promise.all([
        registry.list(deadline),
        store.list(StoreKeys.jobPrefix, deadline),
        store.list(StoreKeys.progressPrefix, deadline),
        this.experience.restore(deadline),
      ]);
      if (runners.isOk() && jobs.isOk() && progress.isOk()) {
        this.dispatcher.listRunners(runners.value, this.now);
        this.listedAt = this.now;
        this.intake.takeStored(jobs.value.items, progress.value.items);
        this.watch.start((error) => this.fail(error), jobs.value.revision);
        this.updateLinks();
        log.emit(JobEvents.takeoverRead, {
          token: this.tenureToken,
          jobs: this.dispatcher.state.jobs.size,
          runners: runners.value.length,
          revision: jobs.value.revision,
        });
        this.tellWhole();
        return true;
      }
      await delay(takeoverRetryMs);
    }
    return false;
  }

  private async step(): Promise<void> {
    this.listIfDue();
    const orders = this.dispatcher.step(this.now, this.services.clock.wall());
    orders.stops.forEach((order) => this.sender.stop(order));
    const changed = this.dispatcher.takeDirty();
    const ends = [...this.dispatcher.state.runners.values()]
      .filter(({ id, processedEnd }) => this.storedEnd(id) !== processedEnd)
      .map(({ id, listed, processedEnd }) => ({ id, bornAt: listed.bornAt, end: processedEnd }));
    if (changed.length > 0 && !(await this.writer.write(changed))) {
      this.resign('progress cannot be stored');
      return;
    }
    ends.forEach(({ id, bornAt, end }) => this.storedEnds.set(id, { bornAt, end }));
    this.news.noteStates(changed.map((job) => [job.id, job.state]));
    // With the lease in doubt the sender reports them as not sent, and they are tried again.
    orders.starts.forEach((order) => this.sender.start(order));
    this.updateLinks();
    const forgotten = this.dispatcher.takeForgotten();
    if (forgotten.length > 0) {
      await this.writer.remove(forgotten);
    }
    this.news.noteForgotten(forgotten);
    if (this.token !== undefined) {
      this.tellFollowers();
      this.experience.keepIfDue().catch((error: unknown) => this.fail(error));
    }
  }

  private tellFollowers(): void {
    const update = this.news.take(this.now, () => this.dispatcher.describeQueues());
    if (update !== undefined) {
      this.services.publish(update);
    }
  }

  private tellWhole(): void {
    const { dispatcher, services } = this;
    services.publish({
      isWhole: true,
      states: [...dispatcher.state.jobs.values()].map((job) => [job.id, job.state]),
      forgotten: [],
      queues: [...dispatcher.describeQueues()],
    });
  }

  private listIfDue(): void {
    if (this.isListing || this.now - this.listedAt < listEveryMs) {
      return;
    }
    this.isListing = true;
    this.listedAt = this.now;
    this.services.registry
      .list(this.now + StorePace.callMs)
      .then((runners) => {
        this.isListing = false;
        if (runners.isOk() && !this.isStopped) {
          this.dispatcher.listRunners(runners.value, this.now);
          this.updateLinks();
          this.wake();
        }
      })
      .catch((error: unknown) => this.fail(error));
  }

  private updateLinks(): void {
    const { runners } = this.dispatcher.state;
    this.links.forEach((link, id) => {
      if (!runners.has(id)) {
        link[Symbol.dispose]();
        this.links.delete(id);
      }
    });
    runners.forEach((runner) => {
      const link = this.links.get(runner.id);
      if (link !== undefined) {
        link.wake();
      } else if (runner.isListed) {
        this.addLink(runner);
      }
    });
  }

  private addLink(runner: Runner): void {
    const { runners, clock, random } = this.services;
    const link = new RunnerLink(runner, runners, this.dispatcher, this, clock, random);
    this.links.set(runner.id, link);
    link.start((error) => this.fail(error));
  }

  private fail(error: unknown): void {
    this.services.log.emit(JobEvents.unexpectedError, { message: messageOf(error) });
  }

  public [Symbol.dispose](): void {
    this.isStopped = true;
    this.watch[Symbol.dispose]();
    this.links.forEach((link) => link[Symbol.dispose]());
    this.links.clear();
    this.resume?.();
  }
}
