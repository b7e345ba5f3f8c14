import type { Clock, Random } from '@apricothoist/common';
import { Disposables, messageOf } from '@apricothoist/common';
import type { DispatchBounds } from '@apricothoist/dispatch';
import { RunCounters } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';
import type { Result } from 'neverthrow';

import type { JobUpdate } from './FeedUpdateBuffer.js';
import type { AdviceClient } from './AdviceClient.js';
import { EvacuationRequests } from './EvacuationRequests.js';
import { electionDelayMs, LeadershipTransferPolicy } from './ElectionDelay.js';
import { ConfigurationFollower } from './ConfigurationFollower.js';
import type { CoordinationStore } from './CoordinationStore.js';
import type { LeadershipTerm } from './Election.js';
import { Election } from './Election.js';
import { JobEvents } from './events.js';
import { FeedClient } from './FeedClient.js';
import { FeedServer } from './FeedServer.js';
import { ForwardedRequestHandler } from './ForwardedRequestHandler.js';
import { describeInstance } from './instanceStatus.js';
import { JobStatusCache } from './JobStatusCache.js';
import { leaseTimingFor } from './LeaseTiming.js';
import { LoadLimit } from './LoadLimit.js';
import { JobService } from './JobService.js';
import type { MaintenancePlatform } from './MachineClient.js';
import type { MaintenanceServices } from './MaintenanceServices.js';
import { createMaintenanceServices } from './MaintenanceServices.js';
import type { OperatorConfiguration, OperatorKeys } from './OperatorConfiguration.js';
import type { RunnerClient } from './RunnerClient.js';
import type { RunnerRegistry } from './RunnerRegistry.js';
import { Scheduling } from './Scheduling.js';
import { StoreAccess } from './StoreAccess.js';
import { StrongestCores } from './StrongestCores.js';
import { UnreadableRecords } from './UnreadableRecords.js';

/** Settings of a job instance. */
export interface InstanceSettings {
  readonly name: string;
  /** Address of the feed for followers; reserved for this instance. */
  readonly feedHost: string;
  readonly feedPort: number;
  /** Processing capacity in cores; instances with more cores are preferred for scheduling. */
  readonly cores: number;
  /** Speed of its link in Mbit/s; a slow one is assumed if it is absent. */
  readonly linkMbps?: number;
  /** Milliseconds after its revocation at which an API key must be rejected. */
  readonly revokeMs: number;
  /** Names of all data centres; undefined if they are not known. */
  readonly dataCentres?: ReadonlySet<string>;
  readonly bounds: DispatchBounds;
}

export interface InstanceServices {
  readonly store: CoordinationStore;
  readonly registry: RunnerRegistry;
  readonly runners: RunnerClient;
  /** Undefined if the settings name no advice service. */
  readonly advice?: AdviceClient;
  /** Monotonic clock that includes suspensions, so that it may run ahead. */
  readonly clock: Clock;
  /** Monotonic clock that never runs ahead. */
  readonly steadyClock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly operatorKeys: OperatorKeys;
  /** Absent where the platform has no interface for the maintenance of machines. */
  readonly maintenance?: MaintenancePlatform | undefined;
  readonly decodeConfiguration: (value: string) => Result<OperatorConfiguration, Error>;
}

/**
 * Largest age of the configuration, as a share of the revocation bound, at which the instance
 * reports ready. It is exceeded after two unanswered watches of the configuration.
 */
const maxReadyAgeShare = 0.48;
/** Milliseconds before the revocation bound from which requests with an API key are refused. */
const keyMarginMs = 800;
/**
 * Milliseconds of a term in which followers may still connect. Until then the holder does not publish
 * a lower strength than its predecessor.
 */
const inheritedCoresMs = 10_000;

/** Job instance: serves client requests, and schedules jobs while it holds the leadership lease. */
export class JobInstance implements AsyncDisposable {
  public readonly jobs: JobService;

  public readonly statusCache: JobStatusCache;

  public readonly configurationFollower: ConfigurationFollower;

  private readonly disposables = new Disposables();

  private readonly election: Election;

  private readonly storeAccess: StoreAccess;

  private readonly forwardedRequests: ForwardedRequestHandler;

  private readonly feedServer: FeedServer;

  private readonly feedClient: FeedClient;

  private scheduling: Scheduling | undefined;

  private readonly counters = new RunCounters();

  private readonly unreadable: UnreadableRecords;

  private readonly transferPolicy: LeadershipTransferPolicy;

  private readonly strongestCores: StrongestCores;

  /** Strongest instance as known at the start of the term, until its followers have connected. */
  private inheritedCores = 0;

  /** Monotonic milliseconds. */
  private inheritedCoresUntil = -Infinity;

  private readonly loadLimit = new LoadLimit();

  private readonly evacuations: EvacuationRequests;

  private readonly maintenance: MaintenanceServices | undefined;

  /** Unknown data centres whose evacuation was requested and logged. */
  private readonly unknownDataCentres = new Set<string>();

  private readonly onError = (error: unknown, loop?: string): void => {
    this.counters.unexpectedErrors += 1;
    this.services.log.emit(JobEvents.unexpectedError, { loop, message: messageOf(error) });
  };

  private isStopping = false;

  private wasReady = false;

  public constructor(
    private readonly settings: InstanceSettings,
    private readonly services: InstanceServices,
  ) {
    const { clock, random } = services;
    this.storeAccess = this.disposables.register(
      new StoreAccess({ ...services, isScheduling: () => this.isScheduling }, this.onError),
    );
    const { store, outlook, requests } = this.storeAccess;
    this.transferPolicy = new LeadershipTransferPolicy(settings.cores);
    this.statusCache = new JobStatusCache(clock);
    this.jobs = this.disposables.register(
      new JobService(store, this.statusCache, clock, outlook, requests, this.onError),
    );
    this.forwardedRequests = new ForwardedRequestHandler(
      this.jobs,
      clock,
      () => this.storeAccess.findObstacle(),
      services.log,
    );
    this.configurationFollower = this.disposables.register(
      new ConfigurationFollower(
        store,
        clock,
        random,
        services.operatorKeys.prefix,
        services.operatorKeys.configuration,
        services.decodeConfiguration,
      ),
    );
    this.evacuations = new EvacuationRequests(services.operatorKeys.evacuations);
    const { maintenance, operatorKeys, log } = services;
    this.unreadable = new UnreadableRecords(log, this.counters);
    this.maintenance =
      maintenance &&
      createMaintenanceServices(maintenance, operatorKeys.waves, settings.name, log, this.counters);
    this.feedServer = this.disposables.register(
      new FeedServer(
        this.statusCache,
        (request) => this.forwardedRequests.handle(request),
        () => this.storeAccess.describeService(),
        this.onError,
      ),
    );
    this.feedClient = this.disposables.register(
      new FeedClient(this.statusCache, clock, settings.cores, requests),
    );
    const { name, feedHost, feedPort, cores } = settings;
    this.strongestCores = new StrongestCores(store, clock, this.statusCache, this.unreadable);
    const self = { instance: name, feedAddress: `${feedHost}:${feedPort}` };
    this.election = this.disposables.register(
      new Election(
        store,
        clock,
        random,
        self,
        () => this.feedClient.isActive,
        async () => (await this.strongestCores.find()).map((most) => electionDelayMs(cores, most)),
        leaseTimingFor(settings.linkMbps ?? 0),
      ),
    );
    this.subscribe();
  }

  /** Whether clients should be routed here; logs each change. */
  public checkReady(): boolean {
    const { ageMs } = this.configurationFollower;
    const isReady = !this.isStopping && ageMs < this.settings.revokeMs * maxReadyAgeShare;
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      const configurationAgeMs = Math.round(ageMs);
      this.services.log.emit(JobEvents.readinessChanged, { isReady, configurationAgeMs });
    }
    return isReady;
  }

  /** Whether the configuration is recent enough to accept API keys. */
  public get canCheckKeys(): boolean {
    return this.configurationFollower.ageMs < this.settings.revokeMs - keyMarginMs;
  }

  public get isScheduling(): boolean {
    return this.election.token !== undefined;
  }

  public get status(): Readonly<Record<string, number>> {
    return describeInstance({
      now: this.services.clock.monotonic(),
      counters: this.counters,
      jobs: this.jobs,
      isScheduling: this.isScheduling,
      scheduling: this.scheduling,
      followers: this.feedServer.followers,
      statusCache: this.statusCache,
      evacuations: this.evacuations,
      configurationFollower: this.configurationFollower,
      services: this.services,
      storeAccess: this.storeAccess,
      forwardedRequests: this.forwardedRequests,
    });
  }

  public async start(): Promise<void> {
    await this.feedServer.listen(this.settings.feedHost, this.settings.feedPort);
    this.configurationFollower.start(this.onError);
    this.election.start(this.onError);
    this.services.log.emit(JobEvents.started, { feedPort: this.settings.feedPort });
  }

  /** Releases the leadership and reports not ready; requests are still served. */
  public async drain(): Promise<void> {
    this.isStopping = true;
    this.services.log.emit(JobEvents.stopping, { scheduling: this.isScheduling });
    await this.election[Symbol.asyncDispose]();
  }

  private subscribe(): void {
    const { log } = this.services;
    this.configurationFollower.onApply((configuration) => {
      log.emit(JobEvents.configurationApplied, {
        version: configuration.version,
        routes: configuration.routes.length,
        accounts: configuration.accounts.length,
        bytes: this.configurationFollower.sizeBytes,
      });
      this.scheduling?.configure(configuration);
    });
    this.configurationFollower.onItems((items) => {
      this.evacuations.apply(items);
      this.maintenance?.requests.apply(items);
      this.reportUnknownDataCentres();
    });
    this.configurationFollower.onUnreadable((message) => {
      this.counters.unreadableRecords += 1;
      log.emit(JobEvents.configurationUnreadable, { message });
    });
    this.storeAccess.monitor.onChange(() => this.reportStoreChange());
    this.election.onTermStart((term) => this.beginScheduling(term));
    this.election.onTermEnd((reason) => this.endScheduling(reason));
    this.election.onDoubtChange((isInDoubt) => {
      log.emit(isInDoubt ? JobEvents.leaseInDoubt : JobEvents.leaseConfirmed);
      if (isInDoubt) {
        // Followers look for a successor at once instead of after their idle timeout.
        this.feedServer.publishDoubt();
      }
    });
    this.election.onUnreadable((record) => this.unreadable.report(record));
    this.election.onHolderFound((location) => this.feedClient.connect(location));
    this.feedClient.onChange(({ isConnected, reason }) =>
      log.emit(isConnected ? JobEvents.feedConnected : JobEvents.feedLost, { reason }),
    );
  }

  private reportUnknownDataCentres(): void {
    const { dataCentres } = this.settings;
    this.evacuations.dataCentres.forEach((name) => {
      if (dataCentres?.has(name) === false && !this.unknownDataCentres.has(name)) {
        this.unknownDataCentres.add(name);
        this.services.log.emit(JobEvents.operatorRequestInvalid, { evacuatedDataCentre: name });
      }
    });
  }

  // Followers learn of an outage at once: they forward requests, or refuse them, accordingly.
  private reportStoreChange(): void {
    if (this.isScheduling && this.scheduling?.loadCost !== undefined) {
      this.publish({ isWhole: false, states: [], forgotten: [], queues: [] });
    }
  }

  private beginScheduling(term: LeadershipTerm): void {
    this.services.log.emit(JobEvents.leadershipGained, { token: term.token });
    this.feedClient.disconnect('this instance became the scheduling instance');
    this.inheritedCores = this.strongestCores.known;
    this.inheritedCoresUntil = this.services.clock.monotonic() + inheritedCoresMs;
    this.scheduling = new Scheduling(
      {
        ...this.services,
        store: this.storeAccess.store,
        bounds: this.settings.bounds,
        counters: this.counters,
        evacuations: this.evacuations,
        maintenance: this.maintenance,
        token: () => this.election.token,
        resign: (reason) => this.election.resign(reason),
        transfer: (reason) => this.transferLeadership(reason),
        loadLimit: this.loadLimit,
        strongestCores: () => this.statusCache.strongestCores,
        publish: (update) => this.publish(update),
      },
      term.token,
      this.configurationFollower.current,
    );
    this.scheduling.start();
  }

  private publish(jobUpdate: JobUpdate): void {
    const followerCores = this.feedServer.strongestCores;
    const now = this.services.clock.monotonic();
    const inheritedCores = now < this.inheritedCoresUntil ? this.inheritedCores : 0;
    const strongestCores = Math.max(this.settings.cores, followerCores, inheritedCores);
    const service = this.storeAccess.describeService();
    const update = { ...jobUpdate, strongestCores, service };
    this.statusCache.apply(update);
    this.feedServer.open();
    this.feedServer.publish(update);
    if (this.transferPolicy.isDue(followerCores, now)) {
      this.transferLeadership(`a follower has ${followerCores} cores`);
    }
  }

  private transferLeadership(reason: string): void {
    this.election.transferLeadership(reason).catch(this.onError);
  }

  private endScheduling(reason: string): void {
    this.services.log.emit(JobEvents.leadershipLost, { reason });
    this.scheduling?.[Symbol.dispose]();
    this.scheduling = undefined;
    this.feedServer.close();
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.isStopping = true;
    await this.disposables[Symbol.asyncDispose]();
    this.services.log.emit(JobEvents.stopped);
  }
}
