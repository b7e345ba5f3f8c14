import type { Clock, Random } from '@apricothoist/common';
import { Urgency } from '@apricothoist/config';
import type { Member, Mesh } from '@apricothoist/mesh';
import { MeshErrorKind } from '@apricothoist/mesh';
import type { PeerForwarder, RouteResult, RequestDescriptor } from '@apricothoist/router';
import { AttemptOutcome, RefusalReason } from '@apricothoist/router';
import { z } from 'zod';

import type { ResponseContent, RequestContent } from './CoreServices.js';
import type { ServiceRouters } from './ServiceRouters.js';

export const forwardTopic = 'forward';
/** Maximum number of peers to which one request is offered. */
const maxPeersTried = 3;

const headersSchema = z.record(
  z.string(),
  z.union([z.string(), z.number(), z.array(z.string()), z.undefined()]),
);
const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** A request forwarded to another data centre. Carries the remaining time, as clocks are not shared. */
const forwardSchema = z.strictObject({
  id: z.string(),
  account: z.string(),
  service: z.string(),
  urgency: z.enum(Urgency),
  isIdempotent: z.boolean(),
  key: z.string().optional(),
  remainingMs: z.number(),
  method: z.string(),
  path: z.string(),
  headers: headersSchema,
  body: bytesSchema,
});
type ForwardedRequest = z.output<typeof forwardSchema>;

const resultSchema = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal(AttemptOutcome.answered),
    answer: z.object({ status: z.number().int(), headers: headersSchema, body: bytesSchema }),
  }),
  z.object({
    outcome: z.enum([AttemptOutcome.notRun, AttemptOutcome.unknown]),
    reason: z.enum(RefusalReason),
    retryAfterMs: z.number(),
  }),
]);

type Result = RouteResult<ResponseContent>;

const unanswered: Result = {
  outcome: AttemptOutcome.unknown,
  reason: RefusalReason.failed,
  retryAfterMs: 1_000,
};
const notSent: Result = {
  outcome: AttemptOutcome.notRun,
  reason: RefusalReason.noEndpoint,
  retryAfterMs: 1_000,
};

/** Forwards requests to instances of other data centres over the mesh. */
export class MeshForwarder implements PeerForwarder<RequestContent, ResponseContent> {
  public constructor(
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly dataCentre: string,
  ) {}

  public forward(
    descriptor: RequestDescriptor,
    content: RequestContent,
  ): Promise<Result> | undefined {
    const peers = this.mesh.membership
      .aliveMembers()
      .filter((member) => member.dataCentre !== this.dataCentre)
      .filter((member) => spareSlots(member, descriptor.service) > 0);
    if (peers.length === 0) {
      return undefined;
    }
    return this.sendToAny(peers, descriptor, content);
  }

  /** Registers the handler for requests forwarded by peers. */
  public serve(routers: ServiceRouters): void {
    this.mesh.registerHandler(forwardTopic, async (body) => {
      const forwarded = forwardSchema.parse(body);
      const service = routers.get(forwarded.service);
      if (service === undefined) {
        return { ...notSent, reason: RefusalReason.unknownService };
      }
      return service.router.route(this.toDescriptor(forwarded), forwarded);
    });
  }

  // Only a request that was certainly not sent may go to another peer.
  private async sendToAny(
    peers: readonly Member[],
    descriptor: RequestDescriptor,
    content: RequestContent,
  ): Promise<Result> {
    let candidates = peers;
    for (let tried = 0; tried < maxPeersTried && candidates.length > 0; tried += 1) {
      const peer = this.choosePeer(candidates, descriptor.service);
      const result = await this.send(peer, descriptor, content);
      if (result !== notSent) {
        return result;
      }
      candidates = candidates.filter((candidate) => candidate !== peer);
    }
    return notSent;
  }

  // Power of two choices: of two random peers, takes the one with more spare slots.
  private choosePeer(peers: readonly Member[], service: string): Member {
    const left = this.random.pick(peers);
    const right = this.random.pick(peers);
    return spareSlots(left, service) >= spareSlots(right, service) ? left : right;
  }

  private async send(
    peer: Member,
    descriptor: RequestDescriptor,
    content: RequestContent,
  ): Promise<Result> {
    const { id, account, service, urgency, isIdempotent, key, deadline } = descriptor;
    const { method, path, headers, body } = content;
    const remainingMs = deadline - this.clock.monotonic();
    const forwarded: ForwardedRequest = {
      id,
      account,
      service,
      urgency,
      isIdempotent,
      ...(key === undefined ? {} : { key }),
      remainingMs,
      method,
      path,
      headers: { ...headers },
      body,
    };
    const response = await this.mesh.request(peer.instanceId, forwardTopic, forwarded, deadline);
    if (response.isErr()) {
      return response.error.kind === MeshErrorKind.notSent ? notSent : unanswered;
    }
    const checked = resultSchema.safeParse(response.value);
    return checked.success ? checked.data : unanswered;
  }

  private toDescriptor(forwarded: ForwardedRequest): RequestDescriptor {
    const now = this.clock.monotonic();
    const { id, account, service, urgency, isIdempotent, key, remainingMs } = forwarded;
    return {
      id,
      account,
      service,
      urgency,
      isIdempotent,
      key,
      arrivedAt: now,
      deadline: now + remainingMs,
      isForwarded: true,
    };
  }
}

function spareSlots(member: Member, service: string): number {
  const load = member.digest?.services.find((item) => item.service === service);
  return load?.spareSlots ?? 0;
}
