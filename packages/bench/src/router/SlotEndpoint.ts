import { delay } from '@apricothoist/common';

/** An endpoint with slots, in virtual time. */
export class SlotEndpoint {
  private busy = 0;

  public refusals = 0;

  public constructor(
    public readonly id: string,
    private readonly slots: number,
  ) {}

  /** Runs a request; false when all slots are taken. */
  public async run(milliseconds: number): Promise<boolean> {
    await delay(networkMs);
    if (this.busy >= this.slots) {
      this.refusals += 1;
      await delay(networkMs);
      return false;
    }
    this.busy += 1;
    await delay(milliseconds);
    this.busy -= 1;
    await delay(networkMs);
    return true;
  }
}

/** One-way time in milliseconds between an instance and an endpoint. */
const networkMs = 0.5;
