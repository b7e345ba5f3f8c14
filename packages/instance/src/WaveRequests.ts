import type { Result } from 'neverthrow';

import { FollowedKeys } from './FollowedKeys.js';
import type { FollowedItems } from './PrefixFollower.js';

/** The operator's request to have the maintenance of machines done. */
export interface WaveRequest {
  readonly machines: readonly string[];
  /** Milliseconds from the request within which every machine is to have its maintenance. */
  readonly durationMs: number;
  /** Largest number of its machines that may be down at once. */
  readonly maxCount: number;
}

/** A request with the store revision of its last change. */
export interface RequestedWave extends WaveRequest {
  readonly revision: number;
}

/** The operator's maintenance waves, one key each below a prefix. */
export class WaveRequests {
  private readonly keys: FollowedKeys;

  private readonly decoded = new Map<string, RequestedWave>();

  private unreadable: ReadonlySet<string> = new Set();

  private readonly reportedRevisions = new Set<number>();

  /** @param prefix prefix of the keys; the rest of a key is the number of the wave */
  public constructor(
    prefix: string,
    private readonly decode: (value: string) => Result<WaveRequest, Error>,
    private readonly onUnreadable: (wave: string, message: string) => void,
  ) {
    this.keys = new FollowedKeys(prefix);
  }

  /** Readable requests by number of the wave. */
  public get waves(): ReadonlyMap<string, RequestedWave> {
    return this.decoded;
  }

  /** Whether the operator's key exists, readable or not. */
  public exists(wave: string): boolean {
    return this.decoded.has(wave) || this.unreadable.has(wave);
  }

  /** Applies followed items, of which others than waves are ignored. */
  public apply(followed: FollowedItems): void {
    this.keys.apply(followed);
    const unreadable = new Set<string>();
    const { existing } = this.keys;
    this.decoded.forEach((_request, wave) => {
      if (!existing.has(wave)) {
        this.decoded.delete(wave);
      }
    });
    existing.forEach(({ value, revision }, wave) => {
      if (this.decoded.get(wave)?.revision === revision) {
        return;
      }
      this.decode(value).match(
        (request) => this.decoded.set(wave, { ...request, revision }),
        (error) => {
          this.decoded.delete(wave);
          unreadable.add(wave);
          this.reportOnce(wave, revision, error.message);
        },
      );
    });
    this.unreadable = unreadable;
  }

  private reportOnce(wave: string, revision: number, message: string): void {
    if (!this.reportedRevisions.has(revision)) {
      this.reportedRevisions.add(revision);
      this.onUnreadable(wave, message);
    }
  }
}
