import { createIdentifier } from '@apricothoist/common';
import { describeChange } from '@apricothoist/config';

import type { CommandContext } from '../CommandContext.js';
import { CommandError } from '../CommandError.js';
import { ExitCode } from '../ExitCode.js';
import { readConfigurationFile } from '../readConfigurationFile.js';
import { appliedAnswer, conflictDetails } from '../schemas.js';
import { describeEntry } from './audit.js';

export interface ApplyOptions {
  /** Revision that was reviewed. */
  readonly expect: number;
  readonly reason: string;
  readonly author: string;
}

/** Makes a file the configuration in force, if the reviewed revision still is. */
export async function apply(
  context: CommandContext,
  file: string,
  options: ApplyOptions,
): Promise<void> {
  const text = readConfigurationFile(file);
  const { expect: expectedRevision, reason, author } = options;
  const body = { changeId: createIdentifier(), expectedRevision, text, author, reason };
  context.output.progress(`applying ${file} over revision ${expectedRevision}`);
  try {
    const applied = await context.client().post('/v1/configuration', body, appliedAnswer);
    const lines = [...applied.changes.map(describeChange), `revision ${applied.revision} accepted`];
    context.output.result(applied, lines);
  } catch (error) {
    throw explainConflict(error);
  }
}

// A conflict shows what the other operator changed.
function explainConflict(error: unknown): unknown {
  if (!(error instanceof CommandError) || error.exitCode !== ExitCode.conflict) {
    return error;
  }
  const details = conflictDetails.safeParse(error.details);
  const winners = details.success ? details.data.winners : [];
  const lines = winners.flatMap(describeEntry);
  const message = [`conflict: ${error.message}`, ...lines].join('\n');
  return new CommandError(error.exitCode, message, error.details);
}
