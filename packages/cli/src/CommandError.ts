import { LayerError } from '@apricothoist/common';

import type { ExitCode } from './ExitCode.js';

/** Failure of a command: the message to print and the exit code of the process. */
export class CommandError extends LayerError<'command'> {
  public constructor(
    public readonly exitCode: ExitCode,
    message: string,
    /** Additional data, printed with `--json` only. */
    public readonly details: unknown = undefined,
  ) {
    super('command', message);
  }
}
