export const ExitCode = {
  ok: 0,
  /** The command ran with a negative result, or failed with an unexpected error. */
  failed: 1,
  /** Wrong arguments or input; nothing was changed. */
  badInput: 2,
  /** Another operator changed the configuration first; nothing was changed. */
  conflict: 3,
  /** No instance or no store could be reached; nothing was changed. */
  unavailable: 4,
  /** The change may have been made; check before the command is repeated. */
  unknown: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
