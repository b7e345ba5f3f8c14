import { delay } from '@apricothoist/common';

/** A link of limited rate in virtual time that carries one answer after the other. */
export class VirtualLink {
  /** Bytes carried, including those of answers that were given up. */
  public carriedBytes = 0;

  private freeAt = -Infinity;

  /** @param now monotonic milliseconds */
  public constructor(
    public bytesPerMs: number,
    private readonly now: () => number,
  ) {}

  /** Resolves to true when the answer has arrived, or at the deadline to false. */
  public async carry(bytes: number, deadline: number): Promise<boolean> {
    const beginsAt = Math.min(Math.max(this.now(), this.freeAt), deadline);
    const arrivesAt = beginsAt + bytes / this.bytesPerMs;
    this.freeAt = Math.max(this.freeAt, Math.min(arrivesAt, deadline));
    this.carriedBytes += Math.min(bytes, (deadline - beginsAt) * this.bytesPerMs);
    await delay(Math.min(arrivesAt, deadline) - this.now());
    return arrivesAt <= deadline;
  }
}
