import { createHash, randomUUID } from 'node:crypto';

/** Returns a new unique identifier. */
export function createIdentifier(): string {
  return randomUUID();
}

/** Returns the SHA-256 digest of `text` as 64 hexadecimal digits. */
export function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Returns the weight of `member` for `key` in rendezvous hashing, 0 to 2^48 - 1. The member with
 * the largest weight owns the key; when a member leaves, only its own keys move.
 */
export function rendezvousWeight(key: string, member: string): number {
  return createHash('sha1').update(`${key}\u0000${member}`).digest().readUIntBE(0, 6);
}

/** Returns the member that owns `key`, or undefined if there are no members. */
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
