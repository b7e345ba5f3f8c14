import ini from 'ini';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';

import type { Configuration } from './Configuration.js';
import { configurationSchema } from './Configuration.js';
import type { ConfigurationFault } from './ConfigurationError.js';
import { ConfigurationError, ConfigurationErrorKind } from './ConfigurationError.js';
import { findReferenceFaults } from './findReferenceFaults.js';

/** Maximum size of a configuration text in bytes; the store limits values to one megabyte. */
export const maxConfigurationBytes = 900_000;

/** Parses and validates an INI configuration. `file` is only used to identify the source in faults. */
export function parseConfiguration(
  text: string,
  file: string,
): Result<Configuration, ConfigurationError> {
  if (Buffer.byteLength(text) > maxConfigurationBytes) {
    const message = `expected at most ${maxConfigurationBytes} bytes`;
    return fail(ConfigurationErrorKind.syntax, [{ file, section: '', key: '', message }]);
  }
  const duplicates = findDuplicates(text, file);
  if (duplicates.length > 0) {
    return fail(ConfigurationErrorKind.duplicate, duplicates);
  }
  const checked = configurationSchema.safeParse(toPlain(ini.parse(text)));
  if (!checked.success) {
    const faults = checked.error.issues.map((issue) => toFault(issue, file));
    return fail(ConfigurationErrorKind.invalid, faults);
  }
  const references = findReferenceFaults(checked.data, file);
  return references.length > 0
    ? fail(ConfigurationErrorKind.reference, references)
    : ok(checked.data);
}

function fail(
  kind: ConfigurationErrorKind,
  faults: readonly ConfigurationFault[],
): Result<Configuration, ConfigurationError> {
  return err(new ConfigurationError(kind, faults));
}

// `ini` returns objects without a prototype, which the schema does not accept as records.
function toPlain(parsed: unknown): unknown {
  return JSON.parse(JSON.stringify(parsed)) as unknown;
}

function toFault(issue: z.core.$ZodIssue, file: string): ConfigurationFault {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const key = issue.keys.join(', ');
    return { file, section: path.join('.'), key, message: 'unknown key' };
  }
  const isSection = path.length <= 1 && path[0] !== 'deployment';
  const section = isSection ? path.join('.') : path.slice(0, -1).join('.');
  const key = isSection ? '' : (path.at(-1) ?? '');
  const isMissing = issue.message.endsWith('received undefined');
  return { file, section, key, message: isMissing ? 'missing' : issue.message };
}

function findDuplicates(text: string, file: string): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  const seen = new Set<string>();
  let section = '';
  text.split(/\r?\n/).forEach((line) => {
    const header = /^\s*\[([^\]]*)\]\s*$/.exec(line);
    const assignment = /^\s*([^;#=\s][^=]*?)\s*=/.exec(line);
    if (header !== null) {
      section = header[1] ?? '';
    }
    const key = header === null ? assignment?.[1] : '';
    if (key === undefined) {
      return;
    }
    const path = `${section}\n${key}`;
    if (seen.has(path)) {
      faults.push({ file, section, key, message: 'stands twice' });
    }
    seen.add(path);
  });
  return faults;
}
