import type { OperatorClient } from './OperatorClient.js';
import type { Output } from './Output.js';

/** What a command works with. */
export interface CommandContext {
  readonly output: Output;
  /** Connects on first use, so that offline commands need no instance. */
  readonly client: () => OperatorClient;
}
