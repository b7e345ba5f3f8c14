import type { Clock, Event, Random } from '@apricothoist/common';
import { Disposables, Emitter, PeriodicTask } from '@apricothoist/common';
import type { DigestContent, Mesh, PeerAddress } from '@apricothoist/mesh';
import { MemberState } from '@apricothoist/mesh';
import type { InstanceListError, ListedInstance } from '@apricothoist/platform';
import { BudgetedStore, InstanceRole, ListedState, StoreWatch } from '@apricothoist/platform';
import { Scheduler } from '@apricothoist/scheduler';

import { ConfigurationKeeper } from './ConfigurationKeeper.js';
import { configurationPrefix, ConfigurationStore } from './ConfigurationStore.js';
import type { CoreServices, CoreSettings } from './CoreServices.js';
import { LeaderLease } from './LeaderLease.js';
import { MeshForwarder } from './MeshForwarder.js';
import type { LeavingNotice } from './PeerFollower.js';
import { PeerFollower } from './PeerFollower.js';
import { PlanKeeper } from './PlanKeeper.js';
import { PlanRunner } from './PlanRunner.js';
import { RenewalFence } from './RenewalFence.js';
import { RenewalRole } from './RenewalRole.js';
import { ServiceRouters } from './ServiceRouters.js';
import { StoreClaims } from './StoreClaims.js';
import { taskLeaseMs, WorkerGateway } from './WorkerGateway.js';

const configurationPollMs = 3_000;
/** How often a read of the plan that failed is tried again. */
const planRetryMs = 3_000;
const fenceIntervalMs = 1_000;

/**
 * One entry instance without its listeners: follows the platform and its peers, schedules its
 * data centre when it holds the lease, and routes requests.
 */
export class EntryCore implements AsyncDisposable {
  public readonly store: BudgetedStore;

  public readonly configurationStore: ConfigurationStore;

  public readonly configurations: ConfigurationKeeper;

  /** Plan of the own data centre. */
  public readonly plan: PlanKeeper;

  public readonly mesh: Mesh;

  public readonly routers: ServiceRouters;

  public readonly gateway: WorkerGateway;

  public readonly runner: PlanRunner;

  private readonly owned = new Disposables();

  private readonly plans = new Map<string, PlanKeeper>();

  private readonly fence: RenewalFence;

  private readonly clock: Clock;

  private readonly random: Random;

  private listed: readonly ListedInstance[] = [];

  private isLeaving = false;

  /** Whether a change of the plan may not have been read yet. */
  private isPlanMissed = true;

  private readonly failed = new Emitter<unknown>();

  /** Fires with an error that nothing else has handled. */
  public readonly onError: Event<unknown> = this.failed.event;

  private readonly listFailed = new Emitter<InstanceListError>();

  public readonly onListUnreadable: Event<InstanceListError> = this.listFailed.event;

  private readonly peers: PeerFollower;

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
    this.configurationStore = new ConfigurationStore(this.store);
    this.configurations = this.owned.register(new ConfigurationKeeper(this.configurationStore));
    this.plan = this.planOf(dataCentre);
    this.mesh = services.createMesh((isSameDataCentre) => this.describe(isSameDataCentre));
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
    this.gateway = this.owned.register(
      new WorkerGateway(services.workerClient, this.plan, clock, dataCentre),
    );
    this.fence = new RenewalFence(clock, taskLeaseMs);
    this.peers = this.owned.register(
      new PeerFollower({
        mesh: this.mesh,
        clock,
        dataCentre,
        configurations: this.configurations,
        plan: this.plan,
        routers: this.routers,
        onError: (error) => this.failed.fire(error),
      }),
    );
    this.runner = this.createRunner();
    this.connect();
  }

  /** Fires with an endpoint that is leaving, and who said so first. */
  public get onEndpointLeaving(): Event<LeavingNotice> {
    return this.peers.onEndpointLeaving;
  }

  /** Whether requests can be served: a configuration is in force and the instance stays. */
  public get isReady(): boolean {
    return this.configurations.current !== undefined && !this.isLeaving;
  }

  public get isLeavingNow(): boolean {
    return this.isLeaving;
  }

  /** Begins to follow the platform and the peers. */
  public start(): void {
    this.follow(() => this.readList(), this.settings.listIntervalMs);
    this.follow(() => this.refreshConfiguration(), configurationPollMs);
    this.follow(() => this.retryPlan(), planRetryMs);
    this.follow(async () => this.noteFence(), fenceIntervalMs);
    this.watch(configurationPrefix, () => this.refreshConfiguration());
    const planWatch = this.watch(this.plan.key, () => this.refreshPlan());
    planWatch.onUnchanged(() => this.plan.noteConfirmed());
    this.runner.start();
  }

  /** Tells the peers that this instance is leaving. */
  public leave(): void {
    this.isLeaving = true;
    this.mesh.broadcastDigest();
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.runner[Symbol.asyncDispose]();
    await this.routers[Symbol.asyncDispose]();
    this.mesh[Symbol.dispose]();
    await this.owned[Symbol.asyncDispose]();
    this.failed[Symbol.dispose]();
    this.listFailed[Symbol.dispose]();
  }

  /** The plan of a data centre, or undefined when the data centre is not configured. */
  public configuredPlanOf(dataCentre: string): PlanKeeper | undefined {
    const names = this.configurations.current?.configuration.deployment['data-centres'] ?? [];
    return names.includes(dataCentre) ? this.planOf(dataCentre) : undefined;
  }

  private createRunner(): PlanRunner {
    const { dataCentre, instanceId } = this.settings;
    const role = new RenewalRole({
      clock: this.clock,
      plans: this.plan,
      membership: this.mesh.membership,
      instanceId,
      dataCentre,
      storeState: () => this.store.state,
      isListed: () => this.listed.some((row) => row.address === this.settings.meshAddress),
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
        mayRenewInOutage: () => role.mayRenew(),
      },
      (error) => this.failed.fire(error),
    );
  }

  private connect(): void {
    this.configurations.onAdopt((active) => {
      this.routers.configure(active.configuration);
      this.runner.wake();
      this.mesh.broadcastDigest();
    });
    this.mesh.onMembersChanged(() => this.updateMembers());
    this.routers.onEndpointLeaving(() => this.mesh.broadcastDigest());
  }

  private follow(step: () => Promise<void>, intervalMs: number): void {
    const task = new PeriodicTask(
      step,
      () => intervalMs,
      (error) => this.failed.fire(error),
    );
    this.owned.register(task).start();
  }

  private watch(prefix: string, react: () => Promise<void>): StoreWatch {
    const watch = new StoreWatch(
      this.store,
      this.services.transport,
      prefix,
      this.clock,
      this.random,
      (error) => this.failed.fire(error),
    );
    watch.onChange(() => {
      react().catch((error: unknown) => this.failed.fire(error));
    });
    this.owned.register(watch).start();
    return watch;
  }

  private async readList(): Promise<void> {
    const listed = await this.services.instanceList.read();
    if (listed.isErr()) {
      this.listFailed.fire(listed.error);
      return;
    }
    this.listed = listed.value;
    this.mesh.updateListed(this.listedPeers());
    this.routers.updateListed(listed.value);
    this.gateway.updateListed(listed.value);
    this.updateMembers();
  }

  private listedPeers(): PeerAddress[] {
    return this.listed
      .filter((row) => row.role === InstanceRole.entry && row.state === ListedState.live)
      .filter((row) => row.address !== this.settings.meshAddress)
      .map((row) => ({
        instanceId: row.id,
        dataCentre: row.dataCentre,
        address: row.address,
      }));
  }

  private async refreshConfiguration(): Promise<void> {
    const hasAnswered = await this.configurations.refresh();
    if (!hasAnswered && this.configurations.current === undefined) {
      await this.peers.pullConfiguration();
    }
  }

  // The watch tells of changes, so the plan, which may be large, is not polled.
  private async refreshPlan(): Promise<void> {
    this.isPlanMissed = true;
    this.isPlanMissed = (await this.plan.refresh()).isErr();
  }

  private async retryPlan(): Promise<void> {
    if (this.isPlanMissed) {
      await this.refreshPlan();
    }
  }

  private updateMembers(): void {
    const peers = this.mesh.membership.aliveMembers(this.settings.dataCentre);
    const ids = peers.map((member) => member.instanceId);
    this.routers.setMembers(this.isLeaving ? ids : [this.settings.instanceId, ...ids]);
  }

  // Instances of this data centre that may renew leases: those listed, and those heard of.
  private noteFence(): void {
    const { dataCentre } = this.settings;
    const renewers = this.mesh.membership.all
      .filter((member) => member.dataCentre === dataCentre)
      .map((member) => ({
        isHeard: member.state === MemberState.alive || member.state === MemberState.leaving,
        planRevision: member.digest?.planRevision ?? -1,
      }));
    this.fence.note(renewers, this.plan.current.revision);
  }

  private describe(isSameDataCentre: boolean): DigestContent {
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

  private planOf(dataCentre: string): PlanKeeper {
    const known = this.plans.get(dataCentre);
    if (known !== undefined) {
      return known;
    }
    const keeper = this.owned.register(new PlanKeeper(this.store, this.clock, dataCentre));
    this.plans.set(dataCentre, keeper);
    return keeper;
  }
}
