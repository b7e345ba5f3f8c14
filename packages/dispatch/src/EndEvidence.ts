/** Evidence that a run has ended and cannot start any more. */
export const EndEvidence = {
  /** The runner listed the end of the run. */
  reported: 'reported',
  /** The runner refused the start command. */
  refused: 'refused',
  /** A report of the runner does not list the run. */
  absent: 'absent',
  /** No lease granted to the runner can still be valid. */
  leaseExpired: 'leaseExpired',
} as const;
export type EndEvidence = (typeof EndEvidence)[keyof typeof EndEvidence];
