import type { RunEnd } from '@apricothoist/dispatch';

/** A run on a virtual runner, recorded for checks. Times in virtual milliseconds. */
export interface VirtualRunRecord {
  readonly task: string;
  readonly run: number;
  readonly runnerId: string;
  readonly processStartedAt: number;
  readonly startedAt: number;
  /** Infinity while the run lasts; the time of the crash if its runner crashed. */
  endedAt: number;
  /** Whether the run crashed its runner. */
  hasCrashedRunner: boolean;
  /** Undefined while the run lasts, and after a crash of its runner. */
  end: RunEnd | undefined;
  /** Infinity until the end is acknowledged. */
  acknowledgedAt: number;
  /** Whether the lease of the runner lapsed between the end and its acknowledgement. */
  hasLapsed: boolean;
}
