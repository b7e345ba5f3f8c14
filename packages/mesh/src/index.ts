/** Mesh between the entry instances: membership, digests and requests. */
export { MeshError, MeshErrorKind } from './MeshError.js';
export { decodeMessage, encodeMessage, MessageKind } from './Message.js';
export type { Digest, Message, PeerAddress } from './Message.js';
export {
  instanceChart,
  MemberEvent,
  Membership,
  MemberState,
  suspectTimeoutMs,
} from './Membership.js';
export type { Member } from './Membership.js';
export { maxFrameBytes, PeerLink } from './PeerLink.js';
export { MeshServer } from './MeshServer.js';
export { MeshNode } from './MeshNode.js';
export { isDigestDue } from './Mesh.js';
export type {
  DigestContentFactory,
  DigestContent,
  Mesh,
  MeshIdentity,
  MeshTraffic,
  RequestHandler,
} from './Mesh.js';
