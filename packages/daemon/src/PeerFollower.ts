import type { Clock, Event } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type { Digest, Mesh } from '@apricothoist/mesh';

import type { ConfigurationKeeper, SharedConfiguration } from './ConfigurationKeeper.js';
import { sharedConfigurationSchema } from './ConfigurationKeeper.js';
import type { PlanKeeper } from './PlanKeeper.js';
import type { ServiceRouters } from './ServiceRouters.js';

/** An endpoint that is leaving, and who said so. */
export interface LeavingNotice {
  readonly endpointId: string;
  /** `endpoint`, or the identifier of the instance that told. */
  readonly source: string;
}

/** What a follower works with. */
export interface PeerFollowerContext {
  readonly mesh: Mesh;
  readonly clock: Clock;
  readonly dataCentre: string;
  readonly configurations: ConfigurationKeeper;
  readonly plan: PlanKeeper;
  readonly routers: ServiceRouters;
  readonly onError: (error: unknown) => void;
}

/** Topics of requests between instances. */
const configurationTopic = 'configuration';
const planTopic = 'plan';
const peerTimeoutMs = 3_000;

/**
 * Learns from the peers' digests: newer configurations and plans are pulled, loads and leaving
 * endpoints are taken over. Answers the same questions of peers.
 */
export class PeerFollower implements Disposable {
  private readonly endpointLeft = new Emitter<LeavingNotice>();

  public readonly onEndpointLeaving: Event<LeavingNotice> = this.endpointLeft.event;

  public constructor(private readonly context: PeerFollowerContext) {
    const { mesh, plan, routers, onError } = context;
    mesh.registerHandler(configurationTopic, async () => this.sharedConfiguration());
    mesh.registerHandler(planTopic, async () => plan.current);
    mesh.onDigest((digest) => {
      this.hear(digest).catch(onError);
    });
    routers.onEndpointLeaving((endpointId) => {
      this.endpointLeft.fire({ endpointId, source: 'endpoint' });
    });
  }

  /** Asks any peer for its configuration. */
  public async pullConfiguration(): Promise<void> {
    const [peer] = this.context.mesh.membership.aliveMembers();
    if (peer !== undefined) {
      await this.pullConfigurationFrom(peer.instanceId);
    }
  }

  public [Symbol.dispose](): void {
    this.endpointLeft[Symbol.dispose]();
  }

  private async hear(digest: Digest): Promise<void> {
    const { configurations, plan, dataCentre, routers } = this.context;
    this.noteLeaving(digest);
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

  private noteLeaving(digest: Digest): void {
    digest.leavingEndpoints
      .filter((endpointId) => this.context.routers.markLeaving(endpointId))
      .forEach((endpointId) => {
        this.endpointLeft.fire({ endpointId, source: digest.instanceId });
      });
  }

  private async pullConfigurationFrom(instanceId: string): Promise<void> {
    const { mesh, clock, configurations } = this.context;
    const deadline = clock.monotonic() + peerTimeoutMs;
    const answer = await mesh.request(instanceId, configurationTopic, {}, deadline);
    const checked = sharedConfigurationSchema.safeParse(answer.unwrapOr(undefined));
    if (checked.success) {
      configurations.offer(checked.data);
    }
  }

  private async pullPlan(digest: Digest): Promise<void> {
    const { mesh, clock, plan } = this.context;
    const deadline = clock.monotonic() + peerTimeoutMs;
    const answer = await mesh.request(digest.instanceId, planTopic, {}, deadline);
    plan.offer(answer.unwrapOr(undefined), digest.planConfirmedAt);
  }

  private sharedConfiguration(): SharedConfiguration | undefined {
    const active = this.context.configurations.current;
    return active && { revision: active.revision, digest: active.digest, text: active.text };
  }

  // Requests that all peers of this data centre have in flight, by endpoint.
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
