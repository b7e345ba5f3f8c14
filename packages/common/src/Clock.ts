/**
 * Source of time. Decision logic receives time values as arguments; only I/O code reads a clock.
 */
export interface Clock {
  /** Milliseconds on a clock that never steps back; comparable within one process only. */
  monotonic(): number;
  /** Milliseconds since the Unix epoch; comparable between processes up to their clock skew. */
  wall(): number;
}
