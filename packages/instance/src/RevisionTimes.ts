/** Milliseconds for which a time is kept; a registry entry expires long before. */
const retentionMs = 30_000;
/** Milliseconds between two times that are kept. */
const resolutionMs = 100;

interface RevisionTime {
  readonly revision: number;
  /** Monotonic milliseconds. */
  readonly requestedAt: number;
}

/**
 * Dates changes of the store, which have a revision and no time: a change was made after the request
 * whose answer gave a lower revision of the store.
 */
export class RevisionTimes {
  /** Ascending both by revision and by time. */
  private times: readonly RevisionTime[] = [];

  /**
   * Records a revision that the store reached after a request. That of a single key, or of a watch, may
   * be older than the request and must not be recorded.
   *
   * @param revision 0 if the answer has none
   * @param requestedAt monotonic milliseconds
   */
  public record(revision: number, requestedAt: number): void {
    const last = this.times.at(-1);
    const isClose = last !== undefined && requestedAt - last.requestedAt < resolutionMs;
    if (revision === 0 || isClose) {
      return;
    }
    // Of two times, the later one with the lower revision dates at least as many changes, and better.
    const kept = this.times.filter(
      (time) => time.revision < revision && requestedAt - time.requestedAt <= retentionMs,
    );
    this.times = [...kept, { revision, requestedAt }];
  }

  /** Monotonic time after which the change with this revision was made; undefined if unknown. */
  public findTimeBefore(revision: number): number | undefined {
    return this.times.findLast((time) => time.revision < revision)?.requestedAt;
  }
}
