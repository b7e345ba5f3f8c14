import { delay } from '@apricothoist/common';

/** Faults of a virtual endpoint. */
export interface EndpointFaults {
  isFailing: boolean;
  isTruncating: boolean;
  /** Milliseconds by which every response is delayed. */
  delayMs: number;
}

/** One request that an endpoint accepted. `startedAt` is in virtual milliseconds. */
export interface EndpointRun {
  readonly requestId: string;
  readonly startedAt: number;
}

/** Response of an endpoint. */
export interface EndpointResponse {
  readonly kind: 'answered' | 'busy' | 'leaving' | 'truncated' | 'failed';
  readonly requestId: string;
}

const serviceTimeMs = 20;

/** Fake endpoint with a limited number of slots. */
export class VirtualEndpoint {
  public readonly faults: EndpointFaults = { isFailing: false, isTruncating: false, delayMs: 0 };

  public readonly runs: EndpointRun[] = [];

  /** Virtual milliseconds since when routers can know that it is leaving. It still accepts requests. */
  public leavingSince = Infinity;

  /** Rejects the next request as leaving and accepts all later ones. */
  public refusesNextAsLeaving = false;

  private busySlots = 0;

  public constructor(
    public readonly id: string,
    private readonly slots: number,
    private readonly now: () => number,
  ) {}

  /** Records that routers can know from now on that this endpoint is leaving. */
  public recordLeavingSignal(): void {
    this.leavingSince = Math.min(this.leavingSince, this.now());
  }

  public async serve(requestId: string): Promise<EndpointResponse> {
    if (this.refusesNextAsLeaving) {
      this.refusesNextAsLeaving = false;
      this.recordLeavingSignal();
      return { kind: 'leaving', requestId };
    }
    if (this.busySlots >= this.slots) {
      return { kind: 'busy', requestId };
    }
    this.runs.push({ requestId, startedAt: this.now() });
    if (this.faults.isFailing) {
      return { kind: 'failed', requestId };
    }
    this.busySlots += 1;
    await delay(serviceTimeMs + this.faults.delayMs);
    this.busySlots -= 1;
    return { kind: this.faults.isTruncating ? 'truncated' : 'answered', requestId };
  }
}
