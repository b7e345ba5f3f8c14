import { createIdentifier } from '@apricothoist/common';
import { describeChange } from '@apricothoist/config';

import type { CommandContext } from '../CommandContext.js';
import { CommandError } from '../CommandError.js';
import { ExitCode } from '../ExitCode.js';
import { readConfigurationFile } from '../readConfigurationFile.js';
import { applyResponseSchema, conflictDetailsSchema } from '../schemas.js';
import { describeEntry } from './audit.js';

export interface ApplyOptions {
  /** Revision that the reviewed change was compared with. */
  readonly expect: number;
  readonly reason: string;
  readonly author: string;
}

/** Publishes a configuration file if `expect` is still the current revision. */
export async function apply(
  context: CommandContext,
  file: string,
  options: ApplyOptions,
): Promise<void> {
  const text = readConfigurationFile(file);
  const { expect: expectedRevision, reason, author } = options;
  const body = { changeId: createIdentifier(), expectedRevision, text, author, reason };
  context.output.printProgress(`applying ${file} over revision ${expectedRevision}`);
  try {
    const response = await context.client().post('/v1/configuration', body, applyResponseSchema);
    const lines = [
      ...response.changes.map(describeChange),
      `revision ${response.revision} accepted`,
    ];
    context.output.printResult(response, lines);
  } catch (error) {
    throw addConflictDetails(error);
  }
}

// Adds the changes of the other operators to the message of a conflict.
function addConflictDetails(error: unknown): unknown {
  if (!(error instanceof CommandError) || error.exitCode !== ExitCode.conflict) {
    return error;
  }
  const details = conflictDetailsSchema.safeParse(error.details);
  const winners = details.success ? details.data.winners : [];
  const lines = winners.flatMap(describeEntry);
  const message = [`conflict: ${error.message}`, ...lines].join('\n');
  return new CommandError(error.exitCode, message, error.details);
}
