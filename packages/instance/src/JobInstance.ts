import type { Clock, Random } from '@apricothoist/common';
import { Disposables } from '@apricothoist/common';
import type { DispatchBounds } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';
import type { Result } from 'neverthrow';

import type { JobNews } from './BoardNews.js';
import { candidacyPauseMs, HandOver } from './Candidacy.js';
import { ConfigurationFollower } from './ConfigurationFollower.js';
import type { CoordinationStore } from './CoordinationStore.js';
import type { Tenure } from './Election.js';
import { Election } from './Election.js';
import { JobEvents } from './events.js';
import { FeedClient } from './FeedClient.js';
import { FeedServer } from './FeedServer.js';
import { JobBoard } from './JobBoard.js';
import { JobService } from './JobService.js';
import type { OperatorConfiguration } from './OperatorConfiguration.js';
import type { RunnerClient } from './RunnerClient.js';
import type { RunnerRegistry } from './Scheduling.js';
import { Scheduling } from './Scheduling.js';

/** What a job instance is told of its place. */
export interface InstanceSettings {
  readonly name: string;
  /** Address for followers of this instance, free for its own use. */
  readonly feedHost: string;
  readonly feedPort: number;
  /** Processing power in cores; stronger instances schedule. */
  readonly cores: number;
  /** Milliseconds after which a key that was taken away must not work any more. */
  readonly revokeMs: number;
  readonly bounds: DispatchBounds;
}

export interface InstanceServices {
  readonly store: CoordinationStore;
  readonly registry: RunnerRegistry;
  readonly runners: RunnerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly configurationKey: string;
  readonly decodeConfiguration: (value: string) => Result<OperatorConfiguration, Error>;
}

/**
 * Share of the revocation bound after which an instance asks clients to go elsewhere: two watches of
 * the configuration that were not answered.
 */
const readyShare = 0.48;
/** Milliseconds before the revocation bound at which keyed requests are refused. */
const keyMarginMs = 800;

/** One instance: answers clients, and schedules while it holds the election. */
export class JobInstance implements AsyncDisposable {
  public readonly jobs: JobService;

  public readonly board: JobBoard;

  public readonly configurations: ConfigurationFollower;

  private readonly owned = new Disposables();

  private readonly election: Election;

  private readonly feedServer: FeedServer;

  private readonly feedClient: FeedClient;

  private scheduling: Scheduling | undefined;

  private readonly handOver: HandOver;

  private readonly onError = (error: unknown): void => {
    this.services.log.emit(JobEvents.unexpectedError, { message: String(error) });
  };

  private isStopping = false;

  private isStoreLost = false;

  private wasReady = false;

  public constructor(
    private readonly settings: InstanceSettings,
    private readonly services: InstanceServices,
  ) {
    const { store, clock, random } = services;
    this.handOver = new HandOver(settings.cores);
    this.board = new JobBoard(clock);
    this.jobs = new JobService(store, this.board, clock, () => this.isStoreLost);
    this.configurations = this.owned.register(
      new ConfigurationFollower(
        store,
        clock,
        random,
        services.configurationKey,
        services.decodeConfiguration,
      ),
    );
    this.feedServer = this.owned.register(new FeedServer(this.board, this.onError));
    this.feedClient = this.owned.register(new FeedClient(this.board, clock, settings.cores));
    const { name, feedHost, feedPort, cores } = settings;
    const self = { instance: name, feedAddress: `${feedHost}:${feedPort}` };
    this.election = this.owned.register(
      new Election(
        store,
        clock,
        random,
        self,
        () => this.feedClient.isActive,
        () => candidacyPauseMs(cores, this.board.strongestCores),
      ),
    );
    this.follow();
  }

  /** Whether clients should be sent here; a change is logged. */
  public checkReady(): boolean {
    const { ageMs } = this.configurations;
    const isReady = !this.isStopping && ageMs < this.settings.revokeMs * readyShare;
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      const configurationAgeMs = Math.round(ageMs);
      this.services.log.emit(JobEvents.readinessChanged, { isReady, configurationAgeMs });
    }
    return isReady;
  }

  /** Whether the configuration is recent enough to accept a key. */
  public get mayUseKeys(): boolean {
    return this.configurations.ageMs < this.settings.revokeMs - keyMarginMs;
  }

  public get isScheduling(): boolean {
    return this.election.token !== undefined;
  }

  public get status(): Readonly<Record<string, number>> {
    return {
      scheduling: this.isScheduling ? 1 : 0,
      followers: this.feedServer.followers,
      jobs_known: this.board.size,
      board_age_milliseconds: Math.round(this.board.ageMs),
      configuration_version: this.configurations.current?.version ?? 0,
      configuration_age_milliseconds: Math.round(this.configurations.ageMs),
      log_lines_dropped: this.services.log.droppedLines,
    };
  }

  public async start(): Promise<void> {
    await this.feedServer.listen(this.settings.feedHost, this.settings.feedPort);
    this.configurations.start();
    this.election.start();
    this.services.log.emit(JobEvents.started, { feedPort: this.settings.feedPort });
  }

  /** Hands scheduling over and reports not ready; requests are still answered. */
  public async retire(): Promise<void> {
    this.isStopping = true;
    this.services.log.emit(JobEvents.stopping, { scheduling: this.isScheduling });
    await this.election[Symbol.asyncDispose]();
  }

  private follow(): void {
    const { log } = this.services;
    this.configurations.onAdopt((configuration) => {
      log.emit(JobEvents.configurationAdopted, {
        version: configuration.version,
        routes: configuration.routes.length,
        accounts: configuration.accounts.length,
      });
      this.scheduling?.configure(configuration);
    });
    this.configurations.onUnreadable((message) =>
      log.emit(JobEvents.configurationUnreadable, { message }),
    );
    this.configurations.onAnswer((error) => this.noteStore(error?.message));
    this.election.onGain((tenure) => this.beginScheduling(tenure));
    this.election.onLose((reason) => this.endScheduling(reason));
    this.election.onDoubt((isInDoubt) =>
      log.emit(isInDoubt ? JobEvents.holderInDoubt : JobEvents.holderConfirmed),
    );
    this.election.onLocate((location) => this.feedClient.connect(location));
    this.feedClient.onChange(({ isConnected, reason }) =>
      log.emit(isConnected ? JobEvents.feedConnected : JobEvents.feedLost, { reason }),
    );
  }

  private noteStore(failure: string | undefined): void {
    const isLost = failure !== undefined;
    if (isLost !== this.isStoreLost) {
      this.isStoreLost = isLost;
      const kind = isLost ? JobEvents.storeLost : JobEvents.storeRegained;
      this.services.log.emit(kind, { message: failure });
    }
  }

  private beginScheduling(tenure: Tenure): void {
    this.services.log.emit(JobEvents.holderGained, { token: tenure.token });
    this.feedClient.disconnect('schedules itself');
    this.scheduling = new Scheduling(
      {
        ...this.services,
        bounds: this.settings.bounds,
        token: () => this.election.token,
        resign: (reason) => this.election.resign(reason),
        publish: (news) => this.publish(news),
      },
      tenure.token,
      this.configurations.current,
    );
    this.scheduling.start();
  }

  private publish(news: JobNews): void {
    const followerCores = this.feedServer.strongestCores;
    const strongestCores = Math.max(this.settings.cores, followerCores);
    const update = { ...news, strongestCores };
    this.board.apply(update);
    this.feedServer.open();
    this.feedServer.publish(update);
    if (this.handOver.isDue(followerCores, this.services.clock.monotonic())) {
      this.election.handOver(`an instance of ${followerCores} cores follows`).catch(this.onError);
    }
  }

  private endScheduling(reason: string): void {
    this.services.log.emit(JobEvents.holderLost, { reason });
    this.scheduling?.[Symbol.dispose]();
    this.scheduling = undefined;
    this.feedServer.close();
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.isStopping = true;
    await this.owned[Symbol.asyncDispose]();
    this.services.log.emit(JobEvents.stopped);
  }
}
