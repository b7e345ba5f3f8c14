import { LayerError } from '@apricothoist/common';
import type {
  ListedRunner,
  RunnerReport,
  StartOrder,
  StartOutcome,
  StopOrder,
} from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

export const RunnerErrorKind = {
  unanswered: 'unanswered',
  /** A scheduler with a higher token has taken over. */
  fenced: 'fenced',
  /** Another life of the runner answers at this address. */
  reborn: 'reborn',
  refused: 'refused',
} as const;
export type RunnerErrorKind = (typeof RunnerErrorKind)[keyof typeof RunnerErrorKind];

/** A failed call of a runner. */
export class RunnerError extends LayerError<RunnerErrorKind> {}

export interface ReportRequest {
  /** Token of the scheduler; runners ignore lower ones than they have seen. */
  readonly token: number;
  /** The runner forgets ends up to this number. */
  readonly acknowledgedEnd: number;
  /** Whether to extend the lease of everything that runs there. */
  readonly extendsLease: boolean;
  /** How long the runner may wait for an end before it answers. */
  readonly waitMs: number;
}

/** The runners. Deadlines are monotonic milliseconds. */
export interface RunnerClient {
  start(
    runner: ListedRunner,
    order: StartOrder,
    token: number,
    deadline: number,
  ): Promise<StartOutcome>;
  stop(
    runner: ListedRunner,
    order: StopOrder,
    token: number,
    deadline: number,
  ): Promise<Result<void, RunnerError>>;
  report(
    runner: ListedRunner,
    request: ReportRequest,
    deadline: number,
  ): Promise<Result<RunnerReport, RunnerError>>;
}
