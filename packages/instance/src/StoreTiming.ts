/** Timeouts and retry timing of store calls. */
export const StoreTiming = {
  /** Timeout of a call in milliseconds: some 170 times the specified 4 ms, for a slow store. */
  callTimeoutMs: 700,
  /** Milliseconds before a failed call is retried: a fraction of the seconds that outages last. */
  retryMs: 150,
  /** Relative jitter of the retry delay, so that instances do not retry at the same time. */
  retryJitter: 0.5,
} as const;
