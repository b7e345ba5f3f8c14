/** How serious an event is; the names are those of the log library. */
export const EventLevel = { info: 'info', warn: 'warn', error: 'error' } as const;
export type EventLevel = (typeof EventLevel)[keyof typeof EventLevel];

/** One kind of log event. */
export interface EventKind {
  /** Stable number; never given to another event. */
  readonly code: number;
  readonly level: EventLevel;
  readonly text: string;
}
