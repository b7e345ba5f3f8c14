import type { CommandContext } from '../CommandContext.js';
import { readConfigurationFile } from '../readConfigurationFile.js';

/** Validates a configuration file locally, without connecting to an instance. */
export function check(context: CommandContext, file: string): void {
  const text = readConfigurationFile(file);
  const sections = text.split('\n').filter((line) => line.startsWith('[')).length;
  context.output.printResult({ file, valid: true, sections }, [
    `${file}: ok, ${sections} sections`,
  ]);
}
