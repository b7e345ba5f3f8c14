import type { Clock, Event } from '@apricothoist/common';
import { Emitter, Random } from '@apricothoist/common';
import type { Configuration, ServiceSection } from '@apricothoist/config';
import type { ListedInstance } from '@apricothoist/platform';
import { InstanceRole, ListedState } from '@apricothoist/platform';
import type { PeerForwarder, RequestClaims } from '@apricothoist/router';
import { EndpointTable, RequestRouter } from '@apricothoist/router';

import type { ResponseContent, RequestContent, ServiceSender } from './CoreServices.js';

/** Router, endpoint table and sender of one service. */
export interface ServiceRouter {
  readonly name: string;
  readonly section: ServiceSection;
  readonly endpoints: EndpointTable;
  readonly router: RequestRouter<RequestContent, ResponseContent>;
  readonly sender: ServiceSender;
}

/** Dependencies shared by the routers of all services. */
export interface ServiceRouterContext {
  readonly clock: Clock;
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly seed: number;
  readonly claims: RequestClaims;
  readonly peers: PeerForwarder<RequestContent, ResponseContent>;
  readonly createSender: (section: ServiceSection) => ServiceSender;
}

/** Routers of the configured services. A router is replaced when its service section changes. */
export class ServiceRouters implements AsyncDisposable {
  private readonly routers = new Map<string, ServiceRouter>();

  /** Shutdowns of replaced routers that still have open requests. */
  private readonly retiring = new Set<Promise<void>>();

  private configuration: Configuration | undefined;

  private listedInstances: readonly ListedInstance[] = [];

  private members: readonly string[];

  private readonly endpointLeaving = new Emitter<string>();

  /** Fires with the identifier of an endpoint that reported that it is leaving. */
  public readonly onEndpointLeaving: Event<string> = this.endpointLeaving.event;

  public constructor(private readonly context: ServiceRouterContext) {
    this.members = [context.instanceId];
  }

  public get all(): ServiceRouter[] {
    return [...this.routers.values()];
  }

  public get(service: string): ServiceRouter | undefined {
    return this.routers.get(service);
  }

  /** Whether a configuration has been applied. */
  public get isConfigured(): boolean {
    return this.configuration !== undefined;
  }

  /** Number of open requests at this instance. */
  public get openRequestCount(): number {
    return this.all.reduce((sum, service) => sum + service.router.openRequestCount, 0);
  }

  public configure(configuration: Configuration): void {
    this.configuration = configuration;
    Object.entries(configuration.service).forEach(([name, section]) => {
      const known = this.routers.get(name);
      if (known === undefined || JSON.stringify(known.section) !== JSON.stringify(section)) {
        this.retire(known);
        this.routers.set(name, this.create(name, section));
      }
    });
    this.all
      .filter(({ name }) => configuration.service[name] === undefined)
      .forEach((service) => {
        this.routers.delete(service.name);
        this.retire(service);
      });
  }

  public updateListed(listed: readonly ListedInstance[]): void {
    this.listedInstances = listed;
    this.all.forEach((service) => this.updateEndpoints(service.name, service.endpoints));
  }

  /** Sets the entry instances that share the endpoints of this data centre. */
  public setMembers(members: readonly string[]): void {
    this.members = members;
    this.all.forEach((service) => {
      service.endpoints.setMembers(members);
      service.router.refreshConcurrency();
    });
  }

  /** Sets the number of requests that peers have in flight, by endpoint. */
  public setPeerLoads(inFlight: ReadonlyMap<string, number>): void {
    this.all
      .flatMap((service) => service.endpoints.all)
      .forEach((endpoint) => {
        endpoint.peerInFlight = inFlight.get(endpoint.id) ?? 0;
      });
  }

  /** Marks an endpoint as leaving. Returns whether this was not known before. */
  public markLeaving(endpointId: string): boolean {
    return this.all
      .map((service) => service.endpoints.markLeaving(endpointId))
      .some((isNew) => isNew);
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.all.forEach((service) => this.retire(service));
    await Promise.all(this.retiring);
    this.endpointLeaving[Symbol.dispose]();
  }

  // Finishes the open requests of a replaced router, then disposes its sender.
  private retire(service: ServiceRouter | undefined): void {
    if (service === undefined) {
      return;
    }
    const ended = service.router[Symbol.asyncDispose]().then(() => {
      service.sender[Symbol.dispose]();
      this.retiring.delete(ended);
    });
    this.retiring.add(ended);
  }

  private create(name: string, section: ServiceSection): ServiceRouter {
    const { clock, instanceId, claims, peers, seed } = this.context;
    const random = new Random(seed);
    const endpoints = new EndpointTable(instanceId, section['endpoint-slots'], random);
    const sender = this.context.createSender(section);
    const limits = { timeoutMs: section['timeout-ms'], retryPercent: section['retry-percent'] };
    const router = new RequestRouter<RequestContent, ResponseContent>(
      {
        clock,
        random,
        endpoints,
        sender,
        peers,
        claims,
        weightOf: (account) => this.configuration?.account[account]?.weight ?? 1,
        limitOf: (account) => this.configuration?.account[account]?.['request-limit'],
      },
      limits,
    );
    router.onEndpointLeaving((endpointId) => this.endpointLeaving.fire(endpointId));
    this.updateEndpoints(name, endpoints);
    endpoints.setMembers(this.members);
    return { name, section, endpoints, router, sender };
  }

  private updateEndpoints(service: string, endpoints: EndpointTable): void {
    const endpointInfos = this.listedInstances
      .filter((row) => row.role === InstanceRole.endpoint && row.service === service)
      .filter((row) => row.dataCentre === this.context.dataCentre)
      .map((row) => ({
        id: row.id,
        address: row.address,
        isLeaving: row.state === ListedState.leaving,
      }));
    endpoints.update(endpointInfos, this.context.clock.monotonic());
  }
}
