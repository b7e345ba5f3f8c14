/** How long calls of the store may take, and how they are repeated. */
export const StorePace = {
  /** Milliseconds for an answer: some 170 times the 4 ms of the users' sheets, for a slow store. */
  callMs: 700,
  /** Milliseconds before a failed call is repeated: a fraction of the seconds that outages last. */
  retryMs: 150,
  /** Share by which a pause varies, so that instances do not return together. */
  retrySpread: 0.5,
} as const;
