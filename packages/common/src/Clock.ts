/** Source of time. Decisions receive the values; only shells hold a clock. */
export interface Clock {
  /** Milliseconds on a clock that never steps back; comparable within one process only. */
  monotonic(): number;
  /** Milliseconds since the Unix epoch; comparable between processes up to their clock skew. */
  wall(): number;
}
