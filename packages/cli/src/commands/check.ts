import type { CommandContext } from '../CommandContext.js';
import { readConfigurationFile } from '../readConfigurationFile.js';

/** Checks a configuration file without any instance. */
export function check(context: CommandContext, file: string): void {
  const text = readConfigurationFile(file);
  const sections = text.split('\n').filter((line) => line.startsWith('[')).length;
  context.output.result({ file, valid: true, sections }, [`${file}: ok, ${sections} sections`]);
}
