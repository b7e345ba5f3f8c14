import { Packr } from 'msgpackr';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

import { MeshError, MeshErrorKind } from './MeshError.js';

const id = z.string().min(1).max(200);
const count = z.number().int().min(0);

/** Load of one service at one instance. */
const serviceLoadSchema = z.strictObject({ service: id, spareSlots: count });
/** Requests that an instance has in flight at one endpoint. */
const endpointLoadSchema = z.strictObject({ endpointId: id, inFlight: count });
const peerAddressSchema = z.strictObject({ instanceId: id, dataCentre: id, address: id });

/** What an instance tells its peers about itself, again and again. */
export const digestSchema = z.strictObject({
  instanceId: id,
  dataCentre: id,
  /** `host:port` of its mesh listener. */
  address: id,
  /** Grows with every digest of this instance; older ones are dropped. */
  sequence: count,
  isLeaving: z.boolean(),
  configurationRevision: count,
  /** Newest plan of its data centre that it knows. */
  planRevision: count,
  /** Wall milliseconds at which that plan was last confirmed by the store. */
  planConfirmedAt: z.number(),
  services: z.array(serviceLoadSchema).max(200),
  endpoints: z.array(endpointLoadSchema).max(5_000),
  /** Endpoints known to be leaving. */
  leavingEndpoints: z.array(id).max(5_000),
  /** Instances it knows; sent when they have changed. */
  peers: z.array(peerAddressSchema).max(500),
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

// Property names that both sides know, so that a digest does not carry them once a second. A change
// of this list is a change of the protocol and needs a new `meshPath`.
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

/** Path of the mesh on its listener; names the version of the protocol. */
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
    const checked = messageSchema.safeParse(createPackr().unpack(frame));
    return checked.success ? ok(checked.data) : err(malformed(checked.error));
  } catch (cause) {
    return err(malformed(cause));
  }
}

function malformed(cause: unknown): MeshError {
  return new MeshError(MeshErrorKind.malformed, 'the frame is not a mesh message', { cause });
}
