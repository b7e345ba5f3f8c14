import type { Clock } from '@apricothoist/common';

/** An instance that may renew task leases, with the newest plan revision that it knows. */
export interface Renewer {
  readonly planRevision: number;
  /** False if no digest of the instance has been received recently. */
  readonly isResponsive: boolean;
}

interface FencePoint {
  readonly revision: number;
  /** Monotonic milliseconds. */
  readonly recordedAt: number;
}

/**
 * Determines the plan revision for which all leases granted under older revisions have expired:
 * every instance of the data centre had reached that revision at least one lease duration ago.
 */
export class RenewalFence {
  private points: FencePoint[] = [];

  public constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
  ) {}

  /** Records the revisions that the instances know now. Expected about once per second. */
  public record(renewers: readonly Renewer[], ownRevision: number): void {
    if (renewers.some((renewer) => !renewer.isResponsive)) {
      return;
    }
    const revision = Math.min(ownRevision, ...renewers.map((renewer) => renewer.planRevision));
    this.points.push({ revision, recordedAt: this.clock.monotonic() });
    this.discardOld();
  }

  /** Number of recorded points; bounded by the lease duration and the recording interval. */
  public get size(): number {
    return this.points.length;
  }

  /** Returns the fenced plan revision, or -1 if there is none yet. */
  public revision(): number {
    const point = this.points.findLast((candidate) => candidate.recordedAt <= this.fencedAt);
    return point?.revision ?? -1;
  }

  private get fencedAt(): number {
    return this.clock.monotonic() - this.leaseMs;
  }

  // Keeps the newest point that is at least one lease duration old, and all later ones.
  private discardOld(): void {
    const index = this.points.findLastIndex((point) => point.recordedAt <= this.fencedAt);
    this.points = this.points.slice(Math.max(0, index));
  }
}
