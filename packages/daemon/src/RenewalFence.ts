import type { Clock } from '@apricothoist/common';

/** An instance that may renew task leases, and the newest plan that it knows. */
export interface Renewer {
  readonly planRevision: number;
  /** False when the instance has not been heard of lately. */
  readonly isHeard: boolean;
}

interface FencePoint {
  readonly revision: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/**
 * Tells up to which plan revision no lease can be running any more that was granted under an
 * older one: all instances of the data centre know that revision, and a lease has passed since.
 */
export class RenewalFence {
  private points: FencePoint[] = [];

  public constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
  ) {}

  /** Notes what the instances know now. Call it once a second or so. */
  public note(renewers: readonly Renewer[], ownRevision: number): void {
    if (renewers.some((renewer) => !renewer.isHeard)) {
      return;
    }
    const revision = Math.min(ownRevision, ...renewers.map((renewer) => renewer.planRevision));
    this.points.push({ revision, at: this.clock.monotonic() });
    this.forgetOld();
  }

  /** Points that are remembered; bounded by the lease. */
  public get size(): number {
    return this.points.length;
  }

  public revision(): number {
    const point = this.points.findLast((candidate) => candidate.at <= this.fencedAt);
    return point?.revision ?? -1;
  }

  private get fencedAt(): number {
    return this.clock.monotonic() - this.leaseMs;
  }

  // Only the newest point that is a lease old matters, and those after it.
  private forgetOld(): void {
    const index = this.points.findLastIndex((point) => point.at <= this.fencedAt);
    this.points = this.points.slice(Math.max(0, index));
  }
}
