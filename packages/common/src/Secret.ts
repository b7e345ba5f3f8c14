import { createHash, timingSafeEqual } from 'node:crypto';

/** Value whose string and JSON forms hide its content. */
interface Redacted {
  toString(): string;
  toJSON(): string;
}

/** Credential that is redacted when printed and is compared in constant time. */
export class Secret implements Redacted {
  private readonly digest: Buffer;

  public constructor(private readonly value: string) {
    this.digest = createHash('sha256').update(value).digest();
  }

  public matches(candidate: string): boolean {
    const other = createHash('sha256').update(candidate).digest();
    return timingSafeEqual(this.digest, other);
  }

  /** Returns the plain value, for use only where the credential is sent. */
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
