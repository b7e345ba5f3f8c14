import type { Clock, Random } from '@apricothoist/common';
import { Disposables } from '@apricothoist/common';
import type { DispatchBounds } from '@apricothoist/dispatch';
import { RunCounters } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';
import type { Result } from 'neverthrow';

import type { JobUpdate } from './FeedUpdateBuffer.js';
import type { AdviceClient } from './AdviceClient.js';
import { adviceMetrics } from './adviceMetrics.js';
import { EvacuationRequests } from './EvacuationRequests.js';
import { electionDelayMs, LeadershipTransferPolicy } from './ElectionDelay.js';
import { ConfigurationFollower } from './ConfigurationFollower.js';
import type { CoordinationStore } from './CoordinationStore.js';
import type { LeadershipTerm } from './Election.js';
import { Election } from './Election.js';
import { JobEvents } from './events.js';
import { FeedClient } from './FeedClient.js';
import { FeedServer } from './FeedServer.js';
import { JobStatusCache } from './JobStatusCache.js';
import { leaseTimingFor } from './LeaseTiming.js';
import { LoadLimit } from './LoadLimit.js';
import { JobService } from './JobService.js';
import type { MaintenancePlatform } from './MachineClient.js';
import type { MaintenanceServices } from './MaintenanceServices.js';
import { createMaintenanceServices } from './MaintenanceServices.js';
import { idleMaintenanceStatus } from './MaintenanceWaves.js';
import type { OperatorConfiguration, OperatorKeys } from './OperatorConfiguration.js';
import type { RunnerClient } from './RunnerClient.js';
import type { RunnerRegistry } from './Scheduling.js';
import { Scheduling } from './Scheduling.js';
import { StrongestCores } from './StrongestCores.js';

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

  private readonly feedServer: FeedServer;

  private readonly feedClient: FeedClient;

  private scheduling: Scheduling | undefined;

  private readonly counters = new RunCounters();

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

  private readonly onError = (error: unknown): void => {
    this.services.log.emit(JobEvents.unexpectedError, { message: String(error) });
  };

  private isStopping = false;

  private isStoreUnavailable = false;

  private wasReady = false;

  public constructor(
    private readonly settings: InstanceSettings,
    private readonly services: InstanceServices,
  ) {
    const { store, clock, random } = services;
    this.transferPolicy = new LeadershipTransferPolicy(settings.cores);
    this.statusCache = new JobStatusCache(clock);
    this.jobs = new JobService(store, this.statusCache, clock, () => this.isStoreUnavailable);
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
    this.maintenance =
      maintenance && createMaintenanceServices(maintenance, operatorKeys.waves, settings.name, log);
    this.feedServer = this.disposables.register(new FeedServer(this.statusCache, this.onError));
    this.feedClient = this.disposables.register(
      new FeedClient(this.statusCache, clock, settings.cores),
    );
    const { name, feedHost, feedPort, cores } = settings;
    this.strongestCores = new StrongestCores(store, clock, this.statusCache);
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
    const { ends, overlaps, unsettledStarts, crashes, crashingJobs } = this.counters;
    const loadCost = this.scheduling?.loadCost;
    const progress = this.scheduling?.progress;
    const speedClasses = this.scheduling?.dispatcher.state.speedClasses;
    const now = this.services.clock.monotonic();
    return {
      run_ends_reported: ends.reported,
      run_ends_refused: ends.refused,
      run_ends_absent: ends.absent,
      run_ends_departed: ends.departed,
      run_ends_lease_expired: ends.leaseExpired,
      runs_overlapping: overlaps,
      starts_unsettled: unsettledStarts,
      runners_crashed: crashes,
      jobs_given_up: crashingJobs,
      ...adviceMetrics(this.counters, this.scheduling?.dispatcher.advice.summarize(now)),
      scheduling: this.isScheduling ? 1 : 0,
      stored_state_loaded: loadCost === undefined ? 0 : 1,
      stored_state_load_milliseconds: loadCost?.tookMs ?? 0,
      stored_state_load_bytes: loadCost?.bytes ?? 0,
      progress_unstored_jobs: progress?.unstoredJobs ?? 0,
      starts_waiting_for_store: progress?.waitingStarts.length ?? 0,
      start_store_wait_milliseconds_max: progress?.maxStartWaitMs ?? 0,
      followers: this.feedServer.followers,
      jobs_known: this.statusCache.size,
      runner_speed_classes: speedClasses?.levels.length ?? 0,
      runner_speed_slowest: speedClasses?.levels[0] ?? 0,
      runner_speed_fastest: speedClasses?.levels.at(-1) ?? 0,
      data_centres_evacuated: this.evacuations.dataCentres.size,
      ...(this.scheduling?.maintenance?.status ?? idleMaintenanceStatus),
      board_age_milliseconds: Math.round(this.statusCache.ageMs),
      configuration_version: this.configurationFollower.current?.version ?? 0,
      configuration_age_milliseconds: Math.round(this.configurationFollower.ageMs),
      configuration_bytes: this.configurationFollower.sizeBytes,
      log_lines_dropped: this.services.log.droppedLines,
    };
  }

  public async start(): Promise<void> {
    await this.feedServer.listen(this.settings.feedHost, this.settings.feedPort);
    this.configurationFollower.start();
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
    this.configurationFollower.onUnreadable((message) =>
      log.emit(JobEvents.configurationUnreadable, { message }),
    );
    this.configurationFollower.onCallEnd((error) => this.recordStoreCall(error?.message));
    this.election.onTermStart((term) => this.beginScheduling(term));
    this.election.onTermEnd((reason) => this.endScheduling(reason));
    this.election.onDoubtChange((isInDoubt) => {
      log.emit(isInDoubt ? JobEvents.leaseInDoubt : JobEvents.leaseConfirmed);
      if (isInDoubt) {
        // Followers look for a successor at once instead of after their idle timeout.
        this.feedServer.publishDoubt();
      }
    });
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

  private recordStoreCall(failure: string | undefined): void {
    const isUnavailable = failure !== undefined;
    if (isUnavailable !== this.isStoreUnavailable) {
      this.isStoreUnavailable = isUnavailable;
      const kind = isUnavailable ? JobEvents.storeUnavailable : JobEvents.storeAvailable;
      this.services.log.emit(kind, { message: failure });
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
    const update = { ...jobUpdate, strongestCores };
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
