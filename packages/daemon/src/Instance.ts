import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import type { Clock } from '@apricothoist/common';
import { createIdentifier, Disposables, PeriodicTask, Random } from '@apricothoist/common';
import type { Digest, DigestContent, PeerAddress } from '@apricothoist/mesh';
import { MemberState, MeshNode } from '@apricothoist/mesh';
import type { InstanceList, ListedInstance } from '@apricothoist/platform';
import {
  BudgetedStore,
  HttpInstanceList,
  HttpStoreTransport,
  HttpWorkerClient,
  InstanceRole,
  ListedState,
  StoreWatch,
} from '@apricothoist/platform';
import { Scheduler } from '@apricothoist/scheduler';

import { CallerListener } from './CallerListener.js';
import type { SharedConfiguration } from './ConfigurationKeeper.js';
import { ConfigurationKeeper, sharedConfigurationSchema } from './ConfigurationKeeper.js';
import { configurationPrefix, ConfigurationStore } from './ConfigurationStore.js';
import type { EventLog } from './EventLog.js';
import { EventKinds } from './events.js';
import { InstanceEvents } from './InstanceEvents.js';
import { LeaderLease } from './LeaderLease.js';
import { MeshForwarder } from './MeshForwarder.js';
import { Metrics } from './Metrics.js';
import { OperatorApi } from './OperatorApi.js';
import { OperatorListener } from './OperatorListener.js';
import { PlanKeeper } from './PlanKeeper.js';
import { PlanRunner } from './PlanRunner.js';
import { RenewalFence } from './RenewalFence.js';
import { RenewalRole } from './RenewalRole.js';
import { ServiceRouters } from './ServiceRouters.js';
import type { Credentials, ListenAddress, Settings } from './Settings.js';
import type { StatusReport } from './StatusReport.js';
import { createStatusReport } from './createStatusReport.js';
import { StoreClaims } from './StoreClaims.js';
import { taskLeaseMs, WorkerGateway } from './WorkerGateway.js';

/** Topics of requests between instances. */
const configurationTopic = 'configuration';
const planTopic = 'plan';

const configurationPollMs = 3_000;
const peerTimeoutMs = 3_000;
const fenceIntervalMs = 1_000;

/** One entry instance: listeners, platform clients and decisions, wired together. */
export class Instance implements AsyncDisposable {
  public readonly instanceId = createIdentifier();

  private readonly owned = new Disposables();

  private readonly store: BudgetedStore;

  private readonly configurations: ConfigurationKeeper;

  private readonly plans = new Map<string, PlanKeeper>();

  private readonly plan: PlanKeeper;

  private readonly mesh: MeshNode;

  private readonly routers: ServiceRouters;

  private readonly gateway: WorkerGateway;

  private readonly runner: PlanRunner;

  private readonly fence: RenewalFence;

  private readonly callers: CallerListener;

  private readonly operators: OperatorListener;

  private readonly instanceList: InstanceList;

  private readonly transport: HttpStoreTransport;

  private readonly meshServer: Server = createServer((_, response) => {
    response.writeHead(404).end();
  });

  private readonly events: InstanceEvents;

  private readonly random = new Random(Math.floor(Math.random() * 2 ** 31));

  private shortfall: StatusReport['shortfall'] = [];

  private listed: readonly ListedInstance[] = [];

  private isLeaving = false;

  public constructor(
    private readonly settings: Settings,
    credentials: Credentials,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    const { platform, instance } = settings;
    const dataCentre = instance['data-centre'];
    this.transport = this.owned.register(new HttpStoreTransport(platform.store, clock));
    this.store = new BudgetedStore(this.transport, clock, this.random, {
      callsPerSecond: platform['store-calls-per-second'],
      callTimeoutMs: platform['store-timeout-ms'],
    });
    this.instanceList = new HttpInstanceList(platform['instance-list'], clock);
    const configurationStore = new ConfigurationStore(this.store);
    this.configurations = this.owned.register(new ConfigurationKeeper(configurationStore));
    this.plan = this.planOf(dataCentre);
    this.mesh = this.createMesh(credentials);
    const forwarder = new MeshForwarder(this.mesh, clock, this.random, dataCentre);
    this.routers = new ServiceRouters({
      clock,
      instanceId: this.instanceId,
      dataCentre,
      seed: this.random.below(2 ** 31),
      claims: new StoreClaims(this.store, clock, this.instanceId),
      peers: forwarder,
    });
    forwarder.serve(this.routers);
    const workerClient = this.owned.register(new HttpWorkerClient(clock));
    this.gateway = this.owned.register(
      new WorkerGateway(workerClient, this.plan, clock, dataCentre),
    );
    this.fence = new RenewalFence(clock, taskLeaseMs);
    this.runner = this.createRunner(dataCentre);
    this.callers = new CallerListener(this.routers, credentials.callers, clock);
    const metrics = new Metrics(() => this.status());
    const api = new OperatorApi({
      clock,
      log,
      configurations: this.configurations,
      configurationStore,
      planOf: (name) => this.configuredPlanOf(name),
      status: () => this.status(),
    });
    this.operators = new OperatorListener(api, metrics, credentials.operator, () => this.isReady);
    this.events = new InstanceEvents(log);
    this.connect(metrics);
  }

  /** Whether requests can be served: a configuration is in force and the instance stays. */
  public get isReady(): boolean {
    return this.configurations.current !== undefined && !this.isLeaving;
  }

  /** Opens the listeners and begins to follow the platform. */
  public async start(): Promise<void> {
    const { listeners } = this.settings;
    await listen(this.meshServer, listeners.mesh);
    await listen(this.operators.server, listeners.operator);
    await listen(this.callers.server, listeners.caller);
    this.follow(() => this.readList(), this.settings.platform['list-interval-ms']);
    this.follow(() => this.refreshConfiguration(), configurationPollMs);
    this.follow(async () => this.noteFence(), fenceIntervalMs);
    this.watch(configurationPrefix, () => this.refreshConfiguration());
    this.watch(this.plan.key, async () => {
      await this.plan.refresh();
    });
    this.runner.start();
    const address = `${listeners.caller.host}:${listeners.caller.port}`;
    this.log.emit(EventKinds.started, { instanceId: this.instanceId, address });
  }

  /**
   * Leaves in an orderly way: says so, serves on while the balancer may still send requests,
   * answers what is open, and closes.
   */
  public async stop(): Promise<void> {
    this.isLeaving = true;
    this.log.emit(EventKinds.stopping, { openRequests: this.routers.open });
    this.callers.announceLeaving();
    this.mesh.announce();
    await delay(this.settings.instance['balancer-lag-ms']);
    await this.callers[Symbol.asyncDispose]();
    await this[Symbol.asyncDispose]();
    this.log.emit(EventKinds.stopped, {});
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.runner[Symbol.asyncDispose]();
    await this.routers[Symbol.asyncDispose]();
    this.mesh[Symbol.dispose]();
    await this.operators[Symbol.asyncDispose]();
    this.meshServer.close();
    await this.owned[Symbol.asyncDispose]();
  }

  private createMesh(credentials: Credentials): MeshNode {
    const { host, port } = this.settings.listeners.mesh;
    const identity = {
      instanceId: this.instanceId,
      dataCentre: this.settings.instance['data-centre'],
      address: `${host}:${port}`,
    };
    const mesh = new MeshNode(
      identity,
      credentials.mesh,
      this.meshServer,
      this.clock,
      (isSameDataCentre) => this.describe(isSameDataCentre),
    );
    mesh.handle(configurationTopic, async () => this.sharedConfiguration());
    mesh.handle(planTopic, async () => this.plan.current);
    return mesh;
  }

  private createRunner(dataCentre: string): PlanRunner {
    const role = new RenewalRole({
      clock: this.clock,
      plans: this.plan,
      membership: this.mesh.membership,
      instanceId: this.instanceId,
      dataCentre,
      storeState: () => this.store.state,
      isListed: () => this.listed.some((row) => row.address === this.meshAddress),
    });
    return new PlanRunner(
      {
        clock: this.clock,
        scheduler: new Scheduler(createIdentifier),
        plans: this.plan,
        configurations: this.configurations,
        gateway: this.gateway,
        lease: new LeaderLease(this.store, this.clock, dataCentre, this.instanceId),
        fence: this.fence,
        mayRenewInOutage: () => role.mayRenew(),
      },
      (error) => this.events.unexpected(error),
    );
  }

  private get meshAddress(): string {
    const { host, port } = this.settings.listeners.mesh;
    return `${host}:${port}`;
  }

  private connect(metrics: Metrics): void {
    this.events.follow({
      configurations: this.configurations,
      runner: this.runner,
      mesh: this.mesh,
      callers: this.callers,
      operators: this.operators,
      plan: this.plan,
    });
    this.configurations.onAdopt((active) => {
      this.routers.configure(active.configuration);
      this.runner.wake();
      this.mesh.announce();
    });
    this.callers.onRequestEnd((record) => metrics.record(record));
    this.mesh.onMembersChanged(() => this.updateMembers());
    this.mesh.onDigest((digest) => this.hear(digest));
    this.routers.onEndpointLeaving((endpointId) => {
      this.log.emit(EventKinds.endpointLeaving, { endpoint: endpointId, source: 'endpoint' });
      this.mesh.announce();
    });
    this.runner.onShortfall((units) => {
      this.shortfall = units.map(({ account, guarantee }) => ({ account, guarantee, units: 1 }));
    });
  }

  private follow(step: () => Promise<void>, intervalMs: number): void {
    const task = new PeriodicTask(
      step,
      () => intervalMs,
      (error) => this.events.unexpected(error),
    );
    this.owned.register(task).start();
  }

  private watch(prefix: string, react: () => Promise<void>): void {
    const watch = new StoreWatch(
      this.store,
      this.transport,
      prefix,
      this.clock,
      this.random,
      (error) => this.events.unexpected(error),
    );
    watch.onChange(() => {
      react().catch((error: unknown) => this.events.unexpected(error));
    });
    this.owned.register(watch).start();
  }

  private async readList(): Promise<void> {
    this.events.noteStoreState(this.store.state);
    const listed = await this.instanceList.read();
    if (listed.isErr()) {
      this.log.emit(EventKinds.instanceListUnreadable, { message: listed.error.message });
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
      .filter((row) => row.address !== this.meshAddress)
      .map((row) => ({
        instanceId: row.id,
        dataCentre: row.dataCentre,
        address: row.address,
      }));
  }

  private async refreshConfiguration(): Promise<void> {
    const hasAnswered = await this.configurations.refresh();
    if (!hasAnswered && this.configurations.current === undefined) {
      const [peer] = this.mesh.membership.alive();
      if (peer?.digest !== undefined) {
        await this.pullConfiguration(peer.digest);
      }
    }
  }

  private hear(digest: Digest): void {
    if (digest.configurationRevision > this.configurations.revision) {
      this.pullConfiguration(digest).catch((error: unknown) => this.events.unexpected(error));
    }
    const isSameDataCentre = digest.dataCentre === this.settings.instance['data-centre'];
    if (isSameDataCentre && digest.planRevision > this.plan.current.revision) {
      this.pullPlan(digest).catch((error: unknown) => this.events.unexpected(error));
    }
    if (isSameDataCentre) {
      this.routers.setPeerLoads(this.sumPeerLoads());
    }
    digest.leavingEndpoints
      .filter((endpointId) => this.routers.markLeaving(endpointId))
      .forEach((endpoint) => {
        this.log.emit(EventKinds.endpointLeaving, { endpoint, source: digest.instanceId });
      });
  }

  private async pullConfiguration(digest: Digest): Promise<void> {
    const deadline = this.clock.monotonic() + peerTimeoutMs;
    const answer = await this.mesh.request(digest.instanceId, configurationTopic, {}, deadline);
    const checked = sharedConfigurationSchema.safeParse(answer.unwrapOr(undefined));
    if (checked.success) {
      this.configurations.offer(checked.data);
    }
  }

  private async pullPlan(digest: Digest): Promise<void> {
    const deadline = this.clock.monotonic() + peerTimeoutMs;
    const answer = await this.mesh.request(digest.instanceId, planTopic, {}, deadline);
    this.plan.offer(answer.unwrapOr(undefined), digest.planConfirmedAt);
  }

  private sharedConfiguration(): SharedConfiguration | undefined {
    const active = this.configurations.current;
    return active && { revision: active.revision, digest: active.digest, text: active.text };
  }

  private sumPeerLoads(): Map<string, number> {
    const sums = new Map<string, number>();
    this.mesh.membership
      .alive(this.settings.instance['data-centre'])
      .flatMap((member) => member.digest?.endpoints ?? [])
      .forEach(({ endpointId, inFlight }) => {
        sums.set(endpointId, (sums.get(endpointId) ?? 0) + inFlight);
      });
    return sums;
  }

  private updateMembers(): void {
    const peers = this.mesh.membership.alive(this.settings.instance['data-centre']);
    const ids = peers.map((member) => member.instanceId);
    this.routers.setMembers(this.isLeaving ? ids : [this.instanceId, ...ids]);
  }

  // Instances of this data centre that may renew leases: those listed, and those heard of.
  private noteFence(): void {
    const dataCentre = this.settings.instance['data-centre'];
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

  private configuredPlanOf(dataCentre: string): PlanKeeper | undefined {
    const names = this.configurations.current?.configuration.deployment['data-centres'] ?? [];
    return names.includes(dataCentre) ? this.planOf(dataCentre) : undefined;
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

  private status(): StatusReport {
    return createStatusReport({
      instanceId: this.instanceId,
      name: this.settings.instance.name,
      dataCentre: this.settings.instance['data-centre'],
      isReady: this.isReady,
      isLeaving: this.isLeaving,
      configurations: this.configurations,
      store: this.store,
      runner: this.runner,
      plan: this.plan,
      routers: this.routers,
      gateway: this.gateway,
      mesh: this.mesh,
      shortfall: this.shortfall,
    });
  }
}

function listen(server: Server, address: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve());
  });
}
