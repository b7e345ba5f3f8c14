import type { Clock, Event, Random } from '@apricothoist/common';
import { Disposables, Emitter, PeriodicTask } from '@apricothoist/common';
import type { DigestContent, Mesh, PeerAddress } from '@apricothoist/mesh';
import { MemberState } from '@apricothoist/mesh';
import type { InstanceListError, ListedInstance } from '@apricothoist/platform';
import { BudgetedStore, InstanceRole, ListedState, StoreWatch } from '@apricothoist/platform';
import { Scheduler } from '@apricothoist/scheduler';

import { ConfigurationCache } from './ConfigurationCache.js';
import { configurationPrefix, ConfigurationStore } from './ConfigurationStore.js';
import type { CoreServices, CoreSettings } from './CoreServices.js';
import { LeaderLease } from './LeaderLease.js';
import { MeshForwarder } from './MeshForwarder.js';
import type { LeavingNotice } from './PeerSynchronizer.js';
import { PeerSynchronizer } from './PeerSynchronizer.js';
import { PlanRepository } from './PlanRepository.js';
import { PlanRunner } from './PlanRunner.js';
import { RenewalFence } from './RenewalFence.js';
import { OutageRenewalPolicy } from './OutageRenewalPolicy.js';
import { ServiceRouters } from './ServiceRouters.js';
import { StoreClaims } from './StoreClaims.js';
import { taskLeaseMs, WorkerGateway } from './WorkerGateway.js';

const configurationPollIntervalMs = 3_000;
/** Interval between retries of a failed plan read. */
const planRetryMs = 3_000;
const fenceIntervalMs = 1_000;

/**
 * One entry instance without its listeners: tracks the platform's instance list, the store and the
 * peers, schedules its data centre while it holds the leader lease, and routes requests.
 */
export class EntryCore implements AsyncDisposable {
  public readonly store: BudgetedStore;

  public readonly configurationStore: ConfigurationStore;

  public readonly configurations: ConfigurationCache;

  /** Plan of this instance's data centre. */
  public readonly plan: PlanRepository;

  public readonly mesh: Mesh;

  public readonly routers: ServiceRouters;

  public readonly gateway: WorkerGateway;

  public readonly runner: PlanRunner;

  private readonly disposables = new Disposables();

  private readonly planRepositories = new Map<string, PlanRepository>();

  private readonly fence: RenewalFence;

  private readonly clock: Clock;

  private readonly random: Random;

  private listedInstances: readonly ListedInstance[] = [];

  private isLeaving = false;

  /** Whether the store may hold a newer plan than the one read last. */
  private isPlanStale = true;

  private readonly errorRaised = new Emitter<unknown>();

  /** Fires with errors that are not handled elsewhere. */
  public readonly onError: Event<unknown> = this.errorRaised.event;

  private readonly listFailed = new Emitter<InstanceListError>();

  public readonly onListUnreadable: Event<InstanceListError> = this.listFailed.event;

  private readonly peerSynchronizer: PeerSynchronizer;

  public constructor(
    private readonly settings: CoreSettings,
    private readonly services: CoreServices,
  ) {
    const { clock, random, transport } = services;
    const { dataCentre, instanceId } = settings;
    this.clock = clock;
    this.random = random;
    this.store = new BudgetedStore(transport, clock, random, {
      callsPerSecond: settings.storeCallsPerSecond,
      reservedPerSecond: settings.storeCallsPerSecond / 2,
      callTimeoutMs: settings.storeTimeoutMs,
    });
    this.configurationStore = new ConfigurationStore(this.store, this.store.forRequests);
    this.configurations = this.disposables.register(
      new ConfigurationCache(this.configurationStore),
    );
    this.plan = this.planRepositoryOf(dataCentre);
    this.mesh = services.createMesh((isSameDataCentre) =>
      this.createDigestContent(isSameDataCentre),
    );
    const forwarder = new MeshForwarder(this.mesh, clock, random, dataCentre);
    this.routers = new ServiceRouters({
      clock,
      instanceId,
      dataCentre,
      seed: random.below(2 ** 31),
      claims: new StoreClaims(this.store.forRequests, clock, instanceId),
      peers: forwarder,
      createSender: services.createSender,
    });
    forwarder.serve(this.routers);
    this.gateway = this.disposables.register(
      new WorkerGateway(services.workerClient, this.plan, clock, dataCentre),
    );
    this.fence = new RenewalFence(clock, taskLeaseMs);
    this.peerSynchronizer = this.disposables.register(
      new PeerSynchronizer({
        mesh: this.mesh,
        clock,
        dataCentre,
        configurations: this.configurations,
        plan: this.plan,
        routers: this.routers,
        onError: (error) => this.errorRaised.fire(error),
      }),
    );
    this.runner = this.createRunner();
    this.subscribe();
  }

  /** Fires with an endpoint that is leaving and the first source that reported it. */
  public get onEndpointLeaving(): Event<LeavingNotice> {
    return this.peerSynchronizer.onEndpointLeaving;
  }

  /** Whether requests can be served: a configuration is active and the instance is not leaving. */
  public get isReady(): boolean {
    return this.configurations.current !== undefined && !this.isLeaving;
  }

  public get isLeavingNow(): boolean {
    return this.isLeaving;
  }

  /** Starts the periodic tasks, the store watches and the plan runner. */
  public start(): void {
    this.startPeriodicTask(() => this.refreshInstanceList(), this.settings.listIntervalMs);
    this.startPeriodicTask(() => this.refreshConfiguration(), configurationPollIntervalMs);
    this.startPeriodicTask(() => this.refreshStalePlan(), planRetryMs);
    this.startPeriodicTask(async () => this.updateFence(), fenceIntervalMs);
    this.startWatch(configurationPrefix, () => this.refreshConfiguration());
    const planWatch = this.startWatch(this.plan.key, () => this.refreshPlan());
    planWatch.onUnchanged(() => this.plan.markConfirmed());
    this.runner.start();
  }

  /** Announces to the peers that this instance is leaving. */
  public leave(): void {
    this.isLeaving = true;
    this.mesh.broadcastDigest();
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.runner[Symbol.asyncDispose]();
    await this.routers[Symbol.asyncDispose]();
    this.mesh[Symbol.dispose]();
    await this.disposables[Symbol.asyncDispose]();
    this.errorRaised[Symbol.dispose]();
    this.listFailed[Symbol.dispose]();
  }

  /** Returns the plan of a data centre, or undefined if the data centre is not configured. */
  public configuredPlanOf(dataCentre: string): PlanRepository | undefined {
    const names = this.configurations.current?.configuration.deployment['data-centres'] ?? [];
    return names.includes(dataCentre) ? this.planRepositoryOf(dataCentre) : undefined;
  }

  private createRunner(): PlanRunner {
    const { dataCentre, instanceId } = this.settings;
    const renewalPolicy = new OutageRenewalPolicy({
      clock: this.clock,
      plans: this.plan,
      membership: this.mesh.membership,
      instanceId,
      dataCentre,
      storeState: () => this.store.state,
      isListed: () => this.listedInstances.some((row) => row.address === this.settings.meshAddress),
    });
    return new PlanRunner(
      {
        clock: this.clock,
        scheduler: new Scheduler(this.services.createId),
        plans: this.plan,
        configurations: this.configurations,
        gateway: this.gateway,
        lease: new LeaderLease(this.store, this.clock, dataCentre, instanceId),
        fence: this.fence,
        mayRenewInOutage: () => renewalPolicy.mayRenew(),
      },
      (error) => this.errorRaised.fire(error),
    );
  }

  private subscribe(): void {
    this.configurations.onAdopt((active) => {
      this.routers.configure(active.configuration);
      this.runner.wake();
      this.mesh.broadcastDigest();
    });
    this.mesh.onMembersChanged(() => this.updateMembers());
    this.routers.onEndpointLeaving(() => this.mesh.broadcastDigest());
  }

  private startPeriodicTask(step: () => Promise<void>, intervalMs: number): void {
    const task = new PeriodicTask(
      step,
      () => intervalMs,
      (error) => this.errorRaised.fire(error),
    );
    this.disposables.register(task).start();
  }

  private startWatch(prefix: string, react: () => Promise<void>): StoreWatch {
    const watch = new StoreWatch(
      this.store,
      this.services.transport,
      prefix,
      this.clock,
      this.random,
      (error) => this.errorRaised.fire(error),
    );
    watch.onChange(() => {
      react().catch((error: unknown) => this.errorRaised.fire(error));
    });
    this.disposables.register(watch).start();
    return watch;
  }

  private async refreshInstanceList(): Promise<void> {
    const listed = await this.services.instanceList.read();
    if (listed.isErr()) {
      this.listFailed.fire(listed.error);
      return;
    }
    this.listedInstances = listed.value;
    this.mesh.updateListed(this.listedPeers());
    this.routers.updateListed(listed.value);
    this.gateway.updateListed(listed.value);
    this.updateMembers();
  }

  private listedPeers(): PeerAddress[] {
    return this.listedInstances
      .filter((row) => row.role === InstanceRole.entry && row.state === ListedState.live)
      .filter((row) => row.address !== this.settings.meshAddress)
      .map((row) => ({
        instanceId: row.id,
        dataCentre: row.dataCentre,
        address: row.address,
      }));
  }

  private async refreshConfiguration(): Promise<void> {
    const isStoreReachable = await this.configurations.refresh();
    if (!isStoreReachable && this.configurations.current === undefined) {
      await this.peerSynchronizer.pullConfiguration();
    }
  }

  // The plan can be large, so it is read only when the watch reports a change, not polled.
  private async refreshPlan(): Promise<void> {
    this.isPlanStale = true;
    this.isPlanStale = (await this.plan.refresh()).isErr();
  }

  private async refreshStalePlan(): Promise<void> {
    if (this.isPlanStale) {
      await this.refreshPlan();
    }
  }

  private updateMembers(): void {
    const peers = this.mesh.membership.aliveMembers(this.settings.dataCentre);
    const ids = peers.map((member) => member.instanceId);
    this.routers.setMembers(this.isLeaving ? ids : [this.settings.instanceId, ...ids]);
  }

  // Every known instance of this data centre may renew leases, whether listed or only discovered.
  private updateFence(): void {
    const { dataCentre } = this.settings;
    const renewers = this.mesh.membership.all
      .filter((member) => member.dataCentre === dataCentre)
      .map((member) => ({
        isResponsive: member.state === MemberState.alive || member.state === MemberState.leaving,
        planRevision: member.digest?.planRevision ?? -1,
      }));
    this.fence.record(renewers, this.plan.current.revision);
  }

  private createDigestContent(isSameDataCentre: boolean): DigestContent {
    const services = this.routers.all;
    const endpoints = services.flatMap((service) => service.endpoints.all);
    const loads = endpoints
      .filter((endpoint) => endpoint.inFlight > 0)
      .map((endpoint) => ({ endpointId: endpoint.id, inFlight: endpoint.inFlight }));
    const leaving = services.flatMap((service) => service.endpoints.leavingIds);
    return {
      isLeaving: this.isLeaving,
      configurationRevision: this.configurations.revision,
      planRevision: this.plan.current.revision,
      planConfirmedAt: this.plan.confirmedAt,
      services: isSameDataCentre
        ? []
        : services.map(({ name, router }) => ({ service: name, spareSlots: router.spareSlots })),
      endpoints: isSameDataCentre ? loads : [],
      leavingEndpoints: isSameDataCentre ? leaving : [],
    };
  }

  private planRepositoryOf(dataCentre: string): PlanRepository {
    const known = this.planRepositories.get(dataCentre);
    if (known !== undefined) {
      return known;
    }
    const repository = this.disposables.register(
      new PlanRepository(this.store, this.clock, dataCentre),
    );
    this.planRepositories.set(dataCentre, repository);
    return repository;
  }
}
