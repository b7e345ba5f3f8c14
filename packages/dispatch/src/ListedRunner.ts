import type { Resources } from './Resources.js';

/** A runner as the registry lists it. */
export interface ListedRunner {
  readonly id: string;
  /** `host:port` */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly isDraining: boolean;
  /** Minimum time in milliseconds that a draining runner stays; absent if not announced. */
  readonly minRemainingMs?: number;
  /** Start of the runner process, Unix milliseconds; 0: unknown. */
  readonly processStartedAt: number;
  /** Revision of the last write of the entry; absent if unknown. */
  readonly revision?: number;
  /** Monotonic time after which the runner last wrote its entry; absent if unknown. */
  readonly writtenAfter?: number;
}
