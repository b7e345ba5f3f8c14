import { LayerError } from '@apricothoist/common';
import type {
  ListedRunner,
  RunnerReport,
  StartCommand,
  StartOutcome,
  StopCommand,
} from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

export const RunnerErrorKind = {
  unanswered: 'unanswered',
  /** A scheduling instance with a higher token has taken over. */
  fenced: 'fenced',
  /** A restarted runner process responds at this address. */
  restarted: 'restarted',
  refused: 'refused',
} as const;
export type RunnerErrorKind = (typeof RunnerErrorKind)[keyof typeof RunnerErrorKind];

/** Error of a call to a runner. */
export class RunnerError extends LayerError<RunnerErrorKind> {}

interface RunnerRequest {
  /**
   * Fencing token of the scheduling instance; runners reject tokens lower than the highest they
   * have received.
   */
  readonly token: number;
}

export interface StartRequest extends RunnerRequest {
  /** Steady time until which to extend the leases of all runs on the runner. */
  readonly leaseUntil: number;
}

export interface ReportRequest extends RunnerRequest {
  /** Number up to which ended runs are stored; the runner drops them from its reports. */
  readonly acknowledgedEnd: number;
  /** Steady time until which to extend the leases of all runs on the runner; absent: not at all. */
  readonly leaseUntil?: number;
  /** Milliseconds that the runner may wait for the end of a run before it responds. */
  readonly waitMs: number;
}

/** Client of the runners. Deadlines are monotonic milliseconds. */
export interface RunnerClient {
  start(
    runner: ListedRunner,
    command: StartCommand,
    request: StartRequest,
    deadline: number,
  ): Promise<StartOutcome>;
  stop(
    runner: ListedRunner,
    command: StopCommand,
    token: number,
    deadline: number,
  ): Promise<Result<void, RunnerError>>;
  report(
    runner: ListedRunner,
    request: ReportRequest,
    deadline: number,
  ): Promise<Result<RunnerReport, RunnerError>>;
}
