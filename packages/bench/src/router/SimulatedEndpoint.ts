import { delay } from '@apricothoist/common';

/** A simulated endpoint with a fixed number of slots, in virtual time. */
export class SimulatedEndpoint {
  private busySlots = 0;

  public refusalCount = 0;

  public constructor(
    public readonly id: string,
    private readonly slots: number,
  ) {}

  /** Runs a request; resolves with false when all slots are in use. */
  public async run(runMs: number): Promise<boolean> {
    await delay(oneWayLatencyMs);
    if (this.busySlots >= this.slots) {
      this.refusalCount += 1;
      await delay(oneWayLatencyMs);
      return false;
    }
    this.busySlots += 1;
    await delay(runMs);
    this.busySlots -= 1;
    await delay(oneWayLatencyMs);
    return true;
  }
}

/** One-way network latency in milliseconds between an instance and an endpoint. */
const oneWayLatencyMs = 0.5;
