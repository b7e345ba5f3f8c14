/** Exit codes of the command line. */
export const ExitCode = {
  ok: 0,
  /** The command was carried out and the answer is no, or something unexpected failed. */
  failed: 1,
  /** Wrong arguments or input; nothing was changed. */
  badInput: 2,
  /** Another operator's change came first; nothing was changed. */
  conflict: 3,
  /** No instance or no store can be reached; nothing was changed. */
  unavailable: 4,
  /** The change may have been made; look before repeating it. */
  unknown: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
