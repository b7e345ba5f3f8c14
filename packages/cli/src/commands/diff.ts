import { describeChange, diffConfiguration } from '@apricothoist/config';

import type { CommandContext } from '../CommandContext.js';
import { readConfigurationFile } from '../readConfigurationFile.js';
import { configurationResponseSchema } from '../schemas.js';

/** Compares a file with the current configuration, and prints the revision for `apply --expect`. */
export async function diff(context: CommandContext, file: string): Promise<void> {
  const text = readConfigurationFile(file);
  const current = await context.client().get('/v1/configuration', configurationResponseSchema);
  const changes = diffConfiguration(current.text, text);
  const summary = `${changes.length} changes against revision ${current.revision}`;
  const hint = `apply with: apricothoist apply ${file} --expect ${current.revision} --reason …`;
  const lines = [...changes.map(describeChange), summary, ...(changes.length > 0 ? [hint] : [])];
  context.output.printResult({ revision: current.revision, changes }, lines);
}
