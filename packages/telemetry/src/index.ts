/** Structured logging to standard output, shared by all programs. */
export { EventLevel } from './EventKind.js';
export type { EventKind } from './EventKind.js';
export { EventLog, linesDropped, LogFormat, LogLevel } from './EventLog.js';
export type { EventFields } from './EventLog.js';
