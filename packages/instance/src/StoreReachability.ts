/** How the coordination store can be reached. */
export const StoreReach = {
  reachable: 'reachable',
  /** It answers, but much later than usual. */
  slow: 'slow',
  /** It does not answer this instance; the scheduling instance may still reach it. */
  outOfReachHere: 'outOfReachHere',
  /** It answers neither this instance nor the scheduling instance. */
  outOfReachForAll: 'outOfReachForAll',
} as const;
export type StoreReach = (typeof StoreReach)[keyof typeof StoreReach];

export const CallOutcome = {
  answered: 'answered',
  refused: 'refused',
  unanswered: 'unanswered',
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** A store call as evidence. */
export interface ObservedCall {
  /** Monotonic milliseconds from which an answer is due: the end of the wait of a watch. */
  readonly dueAt: number;
  /** Whether the time of the answer depends on its size, so that it says nothing while open. */
  readonly isSizeDependent: boolean;
}

/** What the scheduling instance last reported over the feed. */
export interface HolderReport {
  readonly isStoreReachable: boolean;
  /** Monotonic milliseconds at which the report arrived. */
  readonly receivedAt: number;
}

/** Milliseconds after which a call is slow, and is checked by a probe: ten times the usual 4 ms. */
const slowMs = 40;
/** Silence in milliseconds that a slow store does not cause: it answers within 60 times 4 ms. */
const suspectMs = 260;
/** Silence in milliseconds that counts as an outage: 1.6 times the latency of a slow store. */
const silenceMs = 400;
/** The first probe is sent `slowMs` after the call that it confirms, and may be a tick later. */
const confirmationLagMs = 60;
const latencyMargin = 1.6;
/** Largest silence in milliseconds that is required of a store that is slower still. */
const maxSilenceMs = 700;
/** Factor with which the largest recent latency decays for each answer. */
const latencyDecay = 0.8;
/** Failures of consecutive calls without an answer in between that count as an outage. */
const failuresOfOutage = 2;
/** Milliseconds between checks above which this process stalled, and answers may wait unread. */
const maxCheckGapMs = 100;
/** Milliseconds between probes. */
const probeIntervalMs = 100;
/** Milliseconds between probes in an outage, which may be an overload. */
const outageProbeIntervalMs = 250;
/** Calls that are sufficient evidence of an outage; one silent call is a lost response. */
const callsOfOutage = 2;

/**
 * Decides from the calls of this instance whether the store can be reached.
 *
 * Load pattern: the store is silent for 4.2 s or refuses the calls of one instance for 9 s while it
 * usually answers within 4 ms, but also within 240 ms without being out of reach. One silent call is
 * a lost response; an outage needs two without any answer since they were sent, or two failures of
 * consecutive calls. Any answer ends the outage.
 */
export class StoreReachability {
  private readonly openCalls = new Set<ObservedCall>();

  /** Calls without an answer that ended after a long silence; they remain evidence. */
  private silentCalls: ObservedCall[] = [];

  private answeredAt = -Infinity;

  private largestLatencyMs = 0;

  private failures = 0;

  private firstFailureAt = Infinity;

  private lastFailureAt = -Infinity;

  private checkedAt = -Infinity;

  /** Monotonic milliseconds at which this process last resumed after a stall. */
  private resumedAt = -Infinity;

  private probedAt = -Infinity;

  /** Monotonic milliseconds since when the store is out of reach; undefined while it is not. */
  public outOfReachSince: number | undefined;

  /** @param waitMs milliseconds that a watch waits before the store answers it */
  public begin(now: number, waitMs = 0, isSizeDependent = false): ObservedCall {
    const call = { dueAt: now + waitMs, isSizeDependent };
    this.openCalls.add(call);
    return call;
  }

  public end(call: ObservedCall, outcome: CallOutcome, now: number): void {
    this.openCalls.delete(call);
    if (outcome === CallOutcome.answered) {
      this.recordAnswer(call, now);
      return;
    }
    if (outcome === CallOutcome.unanswered && call.isSizeDependent) {
      // A large answer may not arrive in time over a slow link.
      return;
    }
    if (outcome === CallOutcome.unanswered && this.waitOf(call, now) >= suspectMs) {
      this.silentCalls = [...this.silentCalls, call].slice(0, callsOfOutage);
    }
    // Calls that fail together, for example with one connection, are one failure.
    if (call.dueAt >= this.lastFailureAt || this.failures === 0) {
      this.failures += 1;
      this.firstFailureAt = Math.min(this.firstFailureAt, call.dueAt, now);
      this.lastFailureAt = now;
    }
    this.check(now);
  }

  /** Checks for silence; called at short intervals. */
  public check(now: number): void {
    if (now - this.checkedAt > maxCheckGapMs) {
      this.resumedAt = now;
    }
    this.checkedAt = now;
    if (this.outOfReachSince !== undefined) {
      return;
    }
    if (this.failures >= failuresOfOutage) {
      this.outOfReachSince = this.firstFailureAt;
      return;
    }
    const [first, second] = this.evidenceAt(now);
    const confirmedMs = this.silenceLimitMs - confirmationLagMs;
    if (first !== undefined && second !== undefined) {
      const isSilent = this.waitOf(first, now) >= this.silenceLimitMs;
      if (isSilent && this.waitOf(second, now) >= confirmedMs) {
        this.outOfReachSince = first.dueAt;
      }
    }
  }

  public get isOutOfReach(): boolean {
    return this.outOfReachSince !== undefined;
  }

  /** Whether the store is silent for longer than a slow one, which the next check may settle. */
  public isSuspect(now: number): boolean {
    const [first] = this.evidenceAt(now);
    const waitMs = first === undefined ? 0 : this.waitOf(first, now);
    return !this.isOutOfReach && waitMs >= suspectMs && waitMs < maxSilenceMs;
  }

  /** Whether a probe should be sent now; the caller begins it as another call. */
  public takeProbe(now: number): boolean {
    const isWaiting = [...this.openCalls].some(
      (call) => !call.isSizeDependent && this.waitOf(call, now) >= slowMs,
    );
    const isNeeded =
      this.isOutOfReach || (isWaiting && this.evidenceAt(now).length < callsOfOutage);
    const intervalMs = this.isOutOfReach ? outageProbeIntervalMs : probeIntervalMs;
    if (!isNeeded || now - this.probedAt < intervalMs) {
      return false;
    }
    this.probedAt = now;
    return true;
  }

  /** @param holder report of the scheduling instance; undefined if its feed is not connected */
  public reach(holder: HolderReport | undefined, now: number): StoreReach {
    if (this.isOutOfReach) {
      return holder?.isStoreReachable === false
        ? StoreReach.outOfReachForAll
        : StoreReach.outOfReachHere;
    }
    const [first] = this.evidenceAt(now);
    const isWaiting = first !== undefined && this.waitOf(first, now) >= slowMs;
    return isWaiting || this.largestLatencyMs >= slowMs ? StoreReach.slow : StoreReach.reachable;
  }

  /**
   * Whether others reach the store in this outage. A report that arrived sooner may be older than the
   * silence that its sender needs to notice the same outage.
   */
  public isReachedElsewhere(holder: HolderReport | undefined): boolean {
    const since = this.outOfReachSince;
    return (
      since !== undefined &&
      holder?.isStoreReachable === true &&
      holder.receivedAt >= since + maxSilenceMs
    );
  }

  // Calls that were due since the last answer, in order; earlier ones may have lost only their own
  // response.
  private evidenceAt(now: number): ObservedCall[] {
    return [...this.silentCalls, ...this.openCalls]
      .filter(
        ({ dueAt, isSizeDependent }) =>
          !isSizeDependent && dueAt >= this.answeredAt && dueAt <= now,
      )
      .sort((left, right) => left.dueAt - right.dueAt);
  }

  private get silenceLimitMs(): number {
    const limitMs = Math.max(silenceMs, this.largestLatencyMs * latencyMargin);
    return Math.min(limitMs, maxSilenceMs);
  }

  private waitOf({ dueAt }: ObservedCall, now: number): number {
    return now - Math.max(dueAt, this.resumedAt);
  }

  private recordAnswer({ dueAt, isSizeDependent }: ObservedCall, now: number): void {
    if (!isSizeDependent) {
      const latencyMs = Math.max(0, now - dueAt);
      this.largestLatencyMs = Math.max(latencyMs, this.largestLatencyMs * latencyDecay);
    }
    this.answeredAt = now;
    this.silentCalls = [];
    this.failures = 0;
    this.firstFailureAt = Infinity;
    this.lastFailureAt = -Infinity;
    this.outOfReachSince = undefined;
  }
}
