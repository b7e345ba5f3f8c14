import type { OperatorClient } from './OperatorClient.js';
import type { Output } from './Output.js';

/** Dependencies that are passed to every command. */
export interface CommandContext {
  readonly output: Output;
  /** Creates the client when it is called, so that offline commands need no instance. */
  readonly client: () => OperatorClient;
}
