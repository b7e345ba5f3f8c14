/** Severity of an event; the names match the methods of the log library. */
export const EventLevel = { info: 'info', warn: 'warn', error: 'error' } as const;
export type EventLevel = (typeof EventLevel)[keyof typeof EventLevel];

/** Type of a log event. */
export interface EventKind {
  /** Stable event number; never reused for another event. */
  readonly code: number;
  readonly level: EventLevel;
  readonly text: string;
}
