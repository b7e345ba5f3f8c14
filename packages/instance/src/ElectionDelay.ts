/**
 * Longest delay in milliseconds before an instance takes a free key. It covers two polls of the
 * key, so that a live instance with more cores has also found the key free.
 */
const maxElectionDelayMs = 500;
/** Share of the cores of the strongest follower with which an instance keeps the leadership. */
const minLeaderCoreShare = 0.6;
/**
 * Milliseconds for which a stronger follower must be connected before leadership is transferred.
 */
const firstTransferDelayMs = 2_000;
/**
 * Factor of that delay after each transfer: the stronger instance may be unable to reach the store.
 */
const transferDelayFactor = 4;

/**
 * Delay in milliseconds before an instance takes a free key; larger for instances with fewer cores.
 */
export function electionDelayMs(cores: number, strongestCores: number): number {
  return strongestCores <= cores ? 0 : maxElectionDelayMs * (1 - cores / strongestCores);
}

/**
 * Decides whether the scheduling instance transfers the leadership to an instance with more cores.
 *
 * With instances of unequal size, a small one can become the scheduling instance while the others
 * are down. With several hundred runners it would respond late for the rest of its term.
 */
export class LeadershipTransferPolicy {
  private strongerSince = Infinity;

  private transferDelayMs = firstTransferDelayMs;

  public constructor(private readonly cores: number) {}

  /**
   * @param strongestCores cores of the strongest connected follower
   * @param now monotonic milliseconds
   */
  public isDue(strongestCores: number, now: number): boolean {
    if (this.cores >= strongestCores * minLeaderCoreShare) {
      this.strongerSince = Infinity;
      return false;
    }
    this.strongerSince = Math.min(this.strongerSince, now);
    if (now - this.strongerSince < this.transferDelayMs) {
      return false;
    }
    this.strongerSince = Infinity;
    this.transferDelayMs *= transferDelayFactor;
    return true;
  }
}
