import { LayerError } from '@apricothoist/common';

import type { ExitCode } from './ExitCode.js';

/** A command that ends without success: what is printed, and the exit code. */
export class CommandError extends LayerError<'command'> {
  public constructor(
    public readonly exitCode: ExitCode,
    message: string,
    /** Details for `--json`. */
    public readonly details: unknown = undefined,
  ) {
    super('command', message);
  }
}
