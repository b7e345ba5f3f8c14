import { createHash, randomUUID } from 'node:crypto';

/** A new identifier that is never used again. */
export function createIdentifier(): string {
  return randomUUID();
}

/** SHA-256 of `text` as 64 hexadecimal digits. */
export function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Rendezvous weight of `member` for `key`, 0 to 2^48 - 1. The member with the largest weight
 * owns the key; when a member leaves, only its own keys move.
 */
export function rendezvousWeight(key: string, member: string): number {
  return createHash('sha1').update(`${key}\u0000${member}`).digest().readUIntBE(0, 6);
}

/** The member that owns `key`, or undefined when there is none. */
export function rendezvousOwner(key: string, members: readonly string[]): string | undefined {
  let owner: string | undefined;
  let best = -1;
  members.forEach((member) => {
    const weight = rendezvousWeight(key, member);
    if (weight > best || (weight === best && owner !== undefined && member < owner)) {
      best = weight;
      owner = member;
    }
  });
  return owner;
}
