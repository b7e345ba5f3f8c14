import { createHash, timingSafeEqual } from 'node:crypto';

/** How a value without content prints. */
interface Redacted {
  toString(): string;
  toJSON(): string;
}

/** A credential. It never prints its value, and compares in constant time. */
export class Secret implements Redacted {
  private readonly digest: Buffer;

  public constructor(private readonly value: string) {
    this.digest = createHash('sha256').update(value).digest();
  }

  public matches(candidate: string): boolean {
    const other = createHash('sha256').update(candidate).digest();
    return timingSafeEqual(this.digest, other);
  }

  /** The value, for the one place that sends it. */
  public reveal(): string {
    return this.value;
  }

  public toString(): string {
    return '[secret]';
  }

  public toJSON(): string {
    return '[secret]';
  }
}
