import type { Clock, Event } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type { Digest, Mesh } from '@apricothoist/mesh';

import type { ConfigurationCache, SharedConfiguration } from './ConfigurationCache.js';
import { sharedConfigurationSchema } from './ConfigurationCache.js';
import type { PlanRepository } from './PlanRepository.js';
import type { ServiceRouters } from './ServiceRouters.js';

/** An endpoint that is leaving and the source of this information. */
export interface LeavingNotice {
  readonly endpointId: string;
  /** `endpoint`, or the identifier of the instance that reported it. */
  readonly source: string;
}

/** Dependencies of a `PeerSynchronizer`. */
export interface PeerSynchronizerContext {
  readonly mesh: Mesh;
  readonly clock: Clock;
  readonly dataCentre: string;
  readonly configurations: ConfigurationCache;
  readonly plan: PlanRepository;
  readonly routers: ServiceRouters;
  readonly onError: (error: unknown) => void;
}

/** Mesh request topics. */
const configurationTopic = 'configuration';
const planTopic = 'plan';
const peerTimeoutMs = 3_000;

/**
 * Applies the peers' digests: pulls newer configurations and plans, and updates endpoint loads and
 * leaving endpoints. Serves this instance's configuration and plan to peers.
 */
export class PeerSynchronizer implements Disposable {
  private readonly endpointLeaving = new Emitter<LeavingNotice>();

  public readonly onEndpointLeaving: Event<LeavingNotice> = this.endpointLeaving.event;

  public constructor(private readonly context: PeerSynchronizerContext) {
    const { mesh, plan, routers, onError } = context;
    mesh.registerHandler(configurationTopic, async () => this.sharedConfiguration());
    mesh.registerHandler(planTopic, async () => plan.current);
    mesh.onDigest((digest) => {
      this.handleDigest(digest).catch(onError);
    });
    routers.onEndpointLeaving((endpointId) => {
      this.endpointLeaving.fire({ endpointId, source: 'endpoint' });
    });
  }

  /** Pulls the configuration from any alive peer. */
  public async pullConfiguration(): Promise<void> {
    const [peer] = this.context.mesh.membership.aliveMembers();
    if (peer !== undefined) {
      await this.pullConfigurationFrom(peer.instanceId);
    }
  }

  public [Symbol.dispose](): void {
    this.endpointLeaving[Symbol.dispose]();
  }

  private async handleDigest(digest: Digest): Promise<void> {
    const { configurations, plan, dataCentre, routers } = this.context;
    this.markLeavingEndpoints(digest);
    if (digest.dataCentre === dataCentre) {
      routers.setPeerLoads(this.sumPeerLoads());
    }
    if (digest.configurationRevision > configurations.revision) {
      await this.pullConfigurationFrom(digest.instanceId);
    }
    if (digest.dataCentre === dataCentre && digest.planRevision > plan.current.revision) {
      await this.pullPlan(digest);
    }
  }

  private markLeavingEndpoints(digest: Digest): void {
    digest.leavingEndpoints
      .filter((endpointId) => this.context.routers.markLeaving(endpointId))
      .forEach((endpointId) => {
        this.endpointLeaving.fire({ endpointId, source: digest.instanceId });
      });
  }

  private async pullConfigurationFrom(instanceId: string): Promise<void> {
    const { mesh, clock, configurations } = this.context;
    const deadline = clock.monotonic() + peerTimeoutMs;
    const response = await mesh.request(instanceId, configurationTopic, {}, deadline);
    const checked = sharedConfigurationSchema.safeParse(response.unwrapOr(undefined));
    if (checked.success) {
      configurations.offer(checked.data);
    }
  }

  private async pullPlan(digest: Digest): Promise<void> {
    const { mesh, clock, plan } = this.context;
    const deadline = clock.monotonic() + peerTimeoutMs;
    const response = await mesh.request(digest.instanceId, planTopic, {}, deadline);
    plan.offer(response.unwrapOr(undefined), digest.planConfirmedAt);
  }

  private sharedConfiguration(): SharedConfiguration | undefined {
    const active = this.context.configurations.current;
    return active && { revision: active.revision, digest: active.digest, text: active.text };
  }

  // Total number of requests in flight from all peers of this data centre, by endpoint.
  private sumPeerLoads(): Map<string, number> {
    const sums = new Map<string, number>();
    this.context.mesh.membership
      .aliveMembers(this.context.dataCentre)
      .flatMap((member) => member.digest?.endpoints ?? [])
      .forEach(({ endpointId, inFlight }) => {
        sums.set(endpointId, (sums.get(endpointId) ?? 0) + inFlight);
      });
    return sums;
  }
}
