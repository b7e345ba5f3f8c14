/** Result of one call of a start command. */
export const StartOutcome = {
  started: 'started',
  /** The runner lacks free capacity. */
  noCapacity: 'noCapacity',
  /** The run number is not higher than that of a run that has ended on the runner. */
  outdatedRun: 'outdatedRun',
  /** The lease in the command had expired on arrival. */
  leaseExpired: 'leaseExpired',
  /** The runner has accepted a newer fencing token: another instance schedules now. */
  fenced: 'fenced',
  /** The runner is unhealthy and did not start the task. */
  unhealthy: 'unhealthy',
  /** The runner process was restarted; another incarnation responded. */
  restarted: 'restarted',
  /** The runner rejected the command as invalid. */
  invalid: 'invalid',
  /** The runner did not accept the permit; the task was not started. */
  permitRefused: 'permitRefused',
  /** No conclusive response; the runner may still execute the command. */
  unknown: 'unknown',
  /** The command was not sent, because the lease of this instance was in doubt. */
  notSent: 'notSent',
} as const;
export type StartOutcome = (typeof StartOutcome)[keyof typeof StartOutcome];
