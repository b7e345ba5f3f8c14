import { readFileSync } from 'node:fs';

import { messageOf } from '@apricothoist/common';
import { parseConfiguration, printConfiguration } from '@apricothoist/config';

import { CommandError } from './CommandError.js';
import { ExitCode } from './ExitCode.js';

/** Reads and validates a configuration file; returns its text in canonical form. */
export function readConfigurationFile(file: string): string {
  return parseConfiguration(readText(file), file).match(printConfiguration, (error) => {
    throw new CommandError(ExitCode.badInput, error.message, error.faults);
  });
}

function readText(file: string): string {
  try {
    return readFileSync(file === '-' ? 0 : file, 'utf8');
  } catch (error) {
    throw new CommandError(ExitCode.badInput, `${file}: ${messageOf(error)}`);
  }
}
