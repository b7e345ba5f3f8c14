import { delay } from '@apricothoist/common';

/** How a virtual endpoint misbehaves. */
export interface EndpointFaults {
  isFailing: boolean;
  isTruncating: boolean;
  /** Milliseconds added to every answer. */
  delayMs: number;
}

/** One request that an endpoint accepted. Virtual milliseconds. */
export interface EndpointRun {
  readonly requestId: string;
  readonly at: number;
}

/** What an endpoint answers. */
export interface EndpointAnswer {
  readonly kind: 'answered' | 'busy' | 'leaving' | 'truncated' | 'failed';
  readonly requestId: string;
}

const serviceMs = 20;

/** Stand-in for an endpoint with a bounded number of slots. */
export class VirtualEndpoint {
  public readonly faults: EndpointFaults = { isFailing: false, isTruncating: false, delayMs: 0 };

  public readonly runs: EndpointRun[] = [];

  /** Virtual milliseconds of the first sign that it is leaving. It goes on accepting. */
  public leavingSince = Infinity;

  /** Refuses the next request as leaving, and accepts all later ones. */
  public willSayLeaving = false;

  private busy = 0;

  public constructor(
    public readonly id: string,
    private readonly slots: number,
    private readonly now: () => number,
  ) {}

  /** Notes that somebody who uses this endpoint could know now that it is leaving. */
  public noteSign(): void {
    this.leavingSince = Math.min(this.leavingSince, this.now());
  }

  public async serve(requestId: string): Promise<EndpointAnswer> {
    if (this.willSayLeaving) {
      this.willSayLeaving = false;
      this.noteSign();
      return { kind: 'leaving', requestId };
    }
    if (this.busy >= this.slots) {
      return { kind: 'busy', requestId };
    }
    this.runs.push({ requestId, at: this.now() });
    if (this.faults.isFailing) {
      return { kind: 'failed', requestId };
    }
    this.busy += 1;
    await delay(serviceMs + this.faults.delayMs);
    this.busy -= 1;
    return { kind: this.faults.isTruncating ? 'truncated' : 'answered', requestId };
  }
}
