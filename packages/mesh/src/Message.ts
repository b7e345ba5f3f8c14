import { Packr } from 'msgpackr';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

import { MeshError, MeshErrorKind } from './MeshError.js';

const id = z.string().min(1).max(200);
const count = z.number().int().min(0);

/** Load of one service at one instance. */
const serviceLoadSchema = z.strictObject({ service: id, spareSlots: count });
/** Number of requests that an instance has in flight at one endpoint. */
const endpointLoadSchema = z.strictObject({ endpointId: id, inFlight: count });
const peerAddressSchema = z.strictObject({ instanceId: id, dataCentre: id, address: id });

/** State that an instance periodically sends to its peers; only the frame limit bounds its lists. */
export const digestSchema = z.strictObject({
  instanceId: id,
  dataCentre: id,
  /** `host:port` of its mesh listener. */
  address: id,
  /** Increases with every digest of this instance; digests that are not newer are dropped. */
  sequence: count,
  isLeaving: z.boolean(),
  configurationRevision: count,
  /** Revision of the newest plan of its data centre known to the instance. */
  planRevision: count,
  /** Wall time in milliseconds at which the store last confirmed that plan. */
  planConfirmedAt: z.number(),
  services: z.array(serviceLoadSchema),
  endpoints: z.array(endpointLoadSchema),
  /** Identifiers of endpoints known to be leaving. */
  leavingEndpoints: z.array(id),
  /** Instances known to be alive; sent on a new link and periodically, otherwise empty. */
  peers: z.array(peerAddressSchema),
});
export type Digest = z.output<typeof digestSchema>;
export type PeerAddress = z.output<typeof peerAddressSchema>;

export const MessageKind = {
  digest: 'digest',
  request: 'request',
  response: 'response',
} as const;
export type MessageKind = (typeof MessageKind)[keyof typeof MessageKind];

const messageSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal(MessageKind.digest), digest: digestSchema }),
  z.strictObject({
    kind: z.literal(MessageKind.request),
    requestId: count,
    topic: id,
    body: z.unknown(),
  }),
  z.strictObject({ kind: z.literal(MessageKind.response), requestId: count, body: z.unknown() }),
]);

/** One frame between two instances. */
export type Message = z.output<typeof messageSchema>;

// msgpackr record structures known to both sides, so that the digest of every second does not carry
// its property names. Changing this list changes the protocol and requires a new `meshPath`.
const sharedStructures = [
  ['kind', 'digest'],
  [
    'instanceId',
    'dataCentre',
    'address',
    'isLeaving',
    'configurationRevision',
    'planRevision',
    'planConfirmedAt',
    'services',
    'endpoints',
    'leavingEndpoints',
    'sequence',
    'peers',
  ],
  ['service', 'spareSlots'],
  ['endpointId', 'inFlight'],
  ['instanceId', 'dataCentre', 'address'],
  ['kind', 'requestId', 'topic', 'body'],
  ['kind', 'requestId', 'body'],
];

/** URL path of the mesh; contains the protocol version. */
export const meshPath = '/mesh/1';

function createPackr(): Packr {
  return new Packr({
    structures: structuredClone(sharedStructures),
    maxSharedStructures: sharedStructures.length,
  });
}

export function encodeMessage(message: Message): Buffer {
  return createPackr().pack(message);
}

export function decodeMessage(frame: Uint8Array): Result<Message, MeshError> {
  try {
    const parsed = messageSchema.safeParse(createPackr().unpack(frame));
    return parsed.success ? ok(parsed.data) : err(malformed(parsed.error));
  } catch (cause) {
    return err(malformed(cause));
  }
}

function malformed(cause: unknown): MeshError {
  return new MeshError(MeshErrorKind.malformed, 'frame is not a valid mesh message', { cause });
}
