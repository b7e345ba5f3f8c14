import { LayerError } from '@apricothoist/common';

export const MeshErrorKind = {
  /** A frame is not a message of this protocol. */
  malformed: 'malformed',
  /** The peer's credential is missing or wrong. */
  unauthorized: 'unauthorized',
  /** There is no open link to the peer; nothing was sent. */
  notSent: 'notSent',
  /** The link broke, or the peer did not answer in time, after the request was sent. */
  unanswered: 'unanswered',
} as const;
export type MeshErrorKind = (typeof MeshErrorKind)[keyof typeof MeshErrorKind];

/** A failure between two instances. */
export class MeshError extends LayerError<MeshErrorKind> {}
