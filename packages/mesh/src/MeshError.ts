import { LayerError } from '@apricothoist/common';

export const MeshErrorKind = {
  /** A frame is not a valid message of this protocol. */
  malformed: 'malformed',
  /** The peer's credential is missing or wrong. */
  unauthorized: 'unauthorized',
  /** No link to the peer is open; nothing was sent. */
  notSent: 'notSent',
  /** The link closed, or the deadline passed, after the request was sent. */
  unanswered: 'unanswered',
} as const;
export type MeshErrorKind = (typeof MeshErrorKind)[keyof typeof MeshErrorKind];

/** A failure of the communication between two instances. */
export class MeshError extends LayerError<MeshErrorKind> {}
