import type { StartCommand, StopCommand } from './DispatchState.js';

/** Commands to be sent to runners. */
export interface Commands {
  readonly starts: readonly StartCommand[];
  readonly stops: readonly StopCommand[];
}
